package org.foxtailridge.limits.grant;

import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRequest;

/**
 * State of a holder's exchange with the home node of one client account: the known home node, the
 * pending grant request, the timeout and the backoff.
 *
 * <p>At most one request is pending. Each request has a new number, and an answer to any other
 * number is dropped, also after a timeout.
 */
final class HomeSession {
    private static final int UNRESPONSIVE_AFTER_TIMEOUTS = 3;
    private static final long UNRESPONSIVE_RETRY_MILLISECONDS = 500;

    private final LimiterSettings mSettings;
    private final ClientAccountName mAccount;
    private NodeName mHome;
    private long mFencing;
    private long mRequestNumber;
    private long mSentMilliseconds = Long.MIN_VALUE / 2;
    private long mBackoffUntilMilliseconds;
    private long mBackoffFromTokens;
    private long mWantedTokens;
    private boolean mIsRequestPending;
    private int mConsecutiveTimeouts;

    HomeSession(LimiterSettings settings, ClientAccountName account) {
        mSettings = settings;
        mAccount = account;
    }

    /** Sets the home node; returns whether the lease is newer than the known one. */
    boolean setHomeNode(NodeName home, long fencing) {
        if (fencing <= mFencing) {
            return false;
        }
        mHome = home;
        mFencing = fencing;
        mIsRequestPending = false;
        mConsecutiveTimeouts = 0;
        mBackoffUntilMilliseconds = 0;
        return true;
    }

    NodeName home() {
        return mHome;
    }

    long fencing() {
        return mFencing;
    }

    /**
     * Returns whether a home node is known and did not let {@link #UNRESPONSIVE_AFTER_TIMEOUTS}
     * requests in a row time out.
     */
    boolean isHomeResponsive() {
        return mHome != null && mConsecutiveTimeouts < UNRESPONSIVE_AFTER_TIMEOUTS;
    }

    boolean isRequestPending() {
        return mIsRequestPending;
    }

    /** Returns whether no request for this many tokens may be sent yet. */
    boolean isBackingOff(long tokens, long nowMilliseconds) {
        return nowMilliseconds < mBackoffUntilMilliseconds && tokens >= mBackoffFromTokens;
    }

    long backoffUntilMilliseconds() {
        return mBackoffUntilMilliseconds;
    }

    /**
     * Suppresses requests that the home node lacks the tokens for.
     *
     * @param untilMilliseconds end of the backoff, by this node's clock
     * @param fromTokens smallest request, in tokens, that the backoff applies to
     */
    void backOff(long untilMilliseconds, long fromTokens) {
        mBackoffUntilMilliseconds = untilMilliseconds;
        mBackoffFromTokens = fromTokens;
    }

    /**
     * Returns whether a request for this many tokens may be sent now. An unresponsive home node
     * gets a request every {@link #UNRESPONSIVE_RETRY_MILLISECONDS}.
     */
    boolean mayRequest(long tokens, long nowMilliseconds) {
        if (mHome == null || mIsRequestPending || isBackingOff(tokens, nowMilliseconds)) {
            return false;
        }
        return isHomeResponsive()
                || nowMilliseconds - mSentMilliseconds >= UNRESPONSIVE_RETRY_MILLISECONDS;
    }

    long sentMilliseconds() {
        return mSentMilliseconds;
    }

    /** Starts a request with the next number; any earlier one is no longer pending. */
    GrantRequest.Builder startRequest(long nowMilliseconds) {
        mRequestNumber++;
        mIsRequestPending = true;
        mSentMilliseconds = nowMilliseconds;
        return GrantRequest.newBuilder()
                .setAccount(mAccount.value())
                .setFencing(mFencing)
                .setIncarnation(mSettings.incarnation())
                .setNumber(mRequestNumber);
    }

    long requestNumber() {
        return mRequestNumber;
    }

    /** Sets the tokens that the pending request asks for. */
    void setWantedTokens(long tokens) {
        mWantedTokens = tokens;
    }

    long wantedTokens() {
        return mWantedTokens;
    }

    /** Ends the pending request if its answer timeout has elapsed; returns whether it did. */
    boolean timeOutRequest(long nowMilliseconds) {
        boolean isTimedOut =
                nowMilliseconds - mSentMilliseconds >= mSettings.answerTimeoutMilliseconds();
        if (!mIsRequestPending || !isTimedOut) {
            return false;
        }
        mIsRequestPending = false;
        mConsecutiveTimeouts++;
        return true;
    }

    /** Ends the pending request if the answer belongs to it; returns whether it does. */
    boolean acceptAnswer(NodeName sender, GrantAnswer answer) {
        boolean isExpected =
                mIsRequestPending
                        && sender.equals(mHome)
                        && answer.getFencing() == mFencing
                        && answer.getIncarnation() == mSettings.incarnation()
                        && answer.getNumber() == mRequestNumber;
        if (isExpected) {
            mIsRequestPending = false;
            mConsecutiveTimeouts = 0;
        }
        return isExpected;
    }
}
