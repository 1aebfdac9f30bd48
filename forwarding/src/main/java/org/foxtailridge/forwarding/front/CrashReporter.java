package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBufUtil;
import java.time.Clock;
import java.util.List;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.crash.CrashLedger;
import org.foxtailridge.execution.crash.PromptCrashLedger;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.request.ResolvedRequest;

/**
 * Reports to the ledgers of endpoint crashes what happened to the attempts of one request, and asks
 * them whether the request is held back. Confined to one thread.
 */
final class CrashReporter {
    // An endpoint that lives this long after the first part of an answer has survived its
    // beginning. One that crashes with the beginning may have sent a part of it.
    private static final long SURVIVAL_MILLISECONDS = 100;

    private final CrashLedger mRequests;
    private final PromptCrashLedger mPrompts;
    private final Clock mClock;
    private final ResolvedRequest mResolved;
    private final CallerExchange mCaller;
    private final List<String> mSharedParts;
    private boolean mFirstPartForwarded;
    private boolean mBeginningSurvived;
    private long mFirstPartMilliseconds;

    CrashReporter(
            ForwarderDependencies dependencies, ResolvedRequest resolved, CallerExchange caller) {
        mRequests = dependencies.crashes();
        mPrompts = dependencies.promptCrashes();
        mClock = dependencies.clock();
        mResolved = resolved;
        mCaller = caller;
        mSharedParts = resolved.metadata().sharedParts();
    }

    /** Returns for how long the request is held back, in milliseconds; 0 if it may run. */
    long heldBackMilliseconds() {
        long asRequest = mRequests.isEmpty() ? 0 : mRequests.heldBackMilliseconds(fingerprint());
        return Math.max(asRequest, heldBackForPromptMilliseconds());
    }

    /** Returns for how long the request is held back because of a part of its prompt; 0: not. */
    long heldBackForPromptMilliseconds() {
        return mPrompts.heldBackMilliseconds(mSharedParts);
    }

    /** The request is sent to an endpoint. */
    void sent() {
        mFirstPartForwarded = false;
        mBeginningSurvived = false;
        mPrompts.sent(mSharedParts);
    }

    /** A part of the answer was forwarded. */
    void partForwarded() {
        long now = mClock.millis();
        if (!mFirstPartForwarded) {
            mFirstPartForwarded = true;
            mFirstPartMilliseconds = now;
        } else if (!mBeginningSurvived && now - mFirstPartMilliseconds >= SURVIVAL_MILLISECONDS) {
            beginningSurvived();
        }
    }

    /** The endpoint answered something in whole. */
    void alive(EndpointName endpoint) {
        mPrompts.alive(endpoint);
    }

    /** The endpoint ran the request and answered successfully in whole. */
    void succeeded() {
        if (!mBeginningSurvived) {
            beginningSurvived();
        }
    }

    /**
     * The endpoint answered the request. Must be called before the answer ends, as that releases
     * the body from which the fingerprint is computed.
     */
    void answered(EndpointName endpoint) {
        if (!mRequests.isEmpty()) {
            mRequests.answered(fingerprint(), endpoint);
        }
    }

    /** The connection to the endpoint broke before the answer was whole. */
    void broken(EndpointName endpoint) {
        mRequests.broken(fingerprint(), endpoint);
        if (!mBeginningSurvived) {
            mPrompts.broken(endpoint, mSharedParts);
        }
    }

    private void beginningSurvived() {
        mBeginningSurvived = true;
        mPrompts.answered(mSharedParts);
    }

    private Fingerprint fingerprint() {
        byte[] body = ByteBufUtil.getBytes(mCaller.body());
        return Fingerprint.of(mResolved.accountName(), mResolved.metadata().target(), body);
    }
}
