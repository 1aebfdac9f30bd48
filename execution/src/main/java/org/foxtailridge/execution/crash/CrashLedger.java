package org.foxtailridge.execution.crash;

import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.quarantine.Fingerprint;
import org.foxtailridge.protocol.crashes.CrashesMessage;
import org.foxtailridge.protocol.crashes.EndpointCrash;

/**
 * Stops requests, fleet-wide, that take down the endpoints that run them.
 *
 * <p>A request counts as having crashed an endpoint when its connection broke and the endpoint has
 * answered nothing since. One whole answer clears it. After the third crash it is held back; every
 * further crash doubles the time, so that a request blamed wrongly is tried again. Nodes are told
 * of crashes only, not of requests. Confined to one thread.
 *
 * <pre>{@code
 * CrashLedger ledger = new CrashLedger(clock, outbox);
 * ledger.broken(fingerprint, endpoint);
 * ledger.tick();
 * long heldBack = ledger.heldBackMilliseconds(fingerprint);   // 0: it may run
 * }</pre>
 */
public final class CrashLedger {
    private static final Logger LOGGER = LogManager.getLogger(CrashLedger.class);

    /** Time in which an endpoint that lives answers something else, in milliseconds; chosen. */
    static final long DOUBT_MILLISECONDS = 400;

    // Bounds the messages after an endpoint with many requests was lost: about 1,400 bytes.
    private static final int MOST_PER_MESSAGE = 30;
    private static final int TIMES_TOLD = 2;

    private final Clock mClock;
    private final CrashOutbox mOutbox;
    private final SuspectRequests mSuspects;
    private final List<Doubt> mDoubts = new ArrayList<>();
    private final Map<EndpointCrash, Integer> mToTell = new LinkedHashMap<>();
    private final Map<Fingerprint, Integer> mHarmlessToTell = new LinkedHashMap<>();

    /** Creates a ledger that knows of no crash. */
    public CrashLedger(Clock clock, CrashOutbox outbox) {
        mClock = Objects.requireNonNull(clock, "clock");
        mOutbox = Objects.requireNonNull(outbox, "outbox");
        mSuspects = new SuspectRequests();
    }

    /** Returns whether no request is watched, so that none has to be asked about. */
    public boolean isEmpty() {
        return mDoubts.isEmpty() && mSuspects.isEmpty();
    }

    /** Returns for how long a request is still held back, in milliseconds; 0 when it may run. */
    public long heldBackMilliseconds(Fingerprint fingerprint) {
        return mSuspects.heldBackMilliseconds(fingerprint, mClock.millis());
    }

    /** The connection of an attempt broke before its answer was whole. */
    public void broken(Fingerprint fingerprint, EndpointName endpoint) {
        Objects.requireNonNull(endpoint, "endpoint");
        mDoubts.add(new Doubt(fingerprint, endpoint, mClock.millis()));
    }

    /** An endpoint gave a whole answer to a request. */
    public void answered(Fingerprint fingerprint, EndpointName endpoint) {
        if (!mDoubts.isEmpty()) {
            mDoubts.removeIf(
                    doubt ->
                            doubt.mEndpoint.equals(endpoint)
                                    || doubt.mFingerprint.equals(fingerprint));
        }
        if (mSuspects.clear(fingerprint)) {
            mHarmlessToTell.put(fingerprint, TIMES_TOLD);
        }
    }

    /** Takes what another node tells. */
    public void received(CrashesMessage message) {
        for (EndpointCrash crash : message.getCrashesList()) {
            mSuspects.add(
                    new Fingerprint(crash.getFingerprint()), crash.getEndpoint(), mClock.millis());
        }
        message.getHarmlessList().forEach(bytes -> mSuspects.clear(new Fingerprint(bytes)));
    }

    /** Counts the crashes that are no longer in doubt, and tells the other nodes. */
    public void tick() {
        long now = mClock.millis();
        mDoubts.removeIf(
                doubt -> now - doubt.mAtMilliseconds >= DOUBT_MILLISECONDS && count(doubt));
        mSuspects.forgetOld(now);
        tell();
    }

    private boolean count(Doubt doubt) {
        String endpoint = doubt.mEndpoint.value();
        if (mSuspects.add(doubt.mFingerprint, endpoint, mClock.millis())) {
            EndpointCrash crash =
                    EndpointCrash.newBuilder()
                            .setEndpoint(endpoint)
                            .setFingerprint(doubt.mFingerprint.bytes())
                            .build();
            mToTell.put(crash, TIMES_TOLD);
            LogEvent.named("crash_counted")
                    .text("endpoint", endpoint)
                    .text("fingerprint", doubt.mFingerprint.hexadecimal())
                    .number("held_back_ms", heldBackMilliseconds(doubt.mFingerprint))
                    .writeTo(LOGGER);
        }
        return true;
    }

    private void tell() {
        if (mToTell.isEmpty() && mHarmlessToTell.isEmpty()) {
            return;
        }
        mOutbox.broadcast(
                CrashesMessage.newBuilder()
                        .addAllCrashes(take(mToTell))
                        .addAllHarmless(
                                take(mHarmlessToTell).stream().map(Fingerprint::bytes).toList())
                        .build());
    }

    private static <T> List<T> take(Map<T, Integer> toTell) {
        List<T> told = toTell.keySet().stream().limit(MOST_PER_MESSAGE).toList();
        told.forEach(item -> toTell.merge(item, -1, (left, one) -> left > 1 ? left + one : null));
        return told;
    }

    private static final class Doubt {
        private final Fingerprint mFingerprint;
        private final EndpointName mEndpoint;
        private final long mAtMilliseconds;

        private Doubt(Fingerprint fingerprint, EndpointName endpoint, long atMilliseconds) {
            mFingerprint = fingerprint;
            mEndpoint = endpoint;
            mAtMilliseconds = atMilliseconds;
        }
    }
}
