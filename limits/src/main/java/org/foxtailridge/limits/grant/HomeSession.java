package org.foxtailridge.limits.grant;

import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRequest;

/**
 * The exchange of one holder with the home node of one client account: one request at a time, each
 * with a new number; an answer to any other number is dropped.
 */
final class HomeSession {
    private static final int MAXIMUM_FAILURES = 3;
    private static final long PROBE_MILLISECONDS = 500;

    private final LimiterSettings mSettings;
    private final ClientAccountName mAccount;
    private NodeName mHome;
    private long mFencing;
    private long mNumber;
    private long mSentMilliseconds = Long.MIN_VALUE / 2;
    private long mPausedUntilMilliseconds;
    private long mPausedFromTokens;
    private long mWantedTokens;
    private boolean mPending;
    private int mFailures;

    HomeSession(LimiterSettings settings, ClientAccountName account) {
        mSettings = settings;
        mAccount = account;
    }

    /** Notes the home node; returns whether it is another lease than before. */
    boolean setHomeNode(NodeName home, long fencing) {
        if (fencing <= mFencing) {
            return false;
        }
        mHome = home;
        mFencing = fencing;
        mPending = false;
        mFailures = 0;
        mPausedUntilMilliseconds = 0;
        return true;
    }

    NodeName home() {
        return mHome;
    }

    long fencing() {
        return mFencing;
    }

    /** Returns whether a waiting reservation may hope for tokens of the home node. */
    boolean isHomeReachable() {
        return mHome != null && mFailures < MAXIMUM_FAILURES;
    }

    boolean isRequestPending() {
        return mPending;
    }

    /** Returns whether the home node has said that it has not as many tokens until later. */
    boolean isBackingOff(long tokens, long nowMilliseconds) {
        return nowMilliseconds < mPausedUntilMilliseconds && tokens >= mPausedFromTokens;
    }

    long backoffUntilMilliseconds() {
        return mPausedUntilMilliseconds;
    }

    /**
     * Asks nothing for some time.
     *
     * @param untilMilliseconds end of that time
     * @param fromTokens least tokens of a request that there was not enough for
     */
    void backOff(long untilMilliseconds, long fromTokens) {
        mPausedUntilMilliseconds = untilMilliseconds;
        mPausedFromTokens = fromTokens;
    }

    boolean mayRequest(long tokens, long nowMilliseconds) {
        if (mHome == null || mPending || isBackingOff(tokens, nowMilliseconds)) {
            return false;
        }
        return isHomeReachable() || nowMilliseconds - mSentMilliseconds >= PROBE_MILLISECONDS;
    }

    long sentMilliseconds() {
        return mSentMilliseconds;
    }

    /** Starts a new request. */
    GrantRequest.Builder startRequest(long nowMilliseconds) {
        mNumber++;
        mPending = true;
        mSentMilliseconds = nowMilliseconds;
        return GrantRequest.newBuilder()
                .setAccount(mAccount.value())
                .setFencing(mFencing)
                .setIncarnation(mSettings.incarnation())
                .setNumber(mNumber);
    }

    /** Returns the number of the last request. */
    long requestNumber() {
        return mNumber;
    }

    /** Notes the tokens that the request under way asks for. */
    void setWantedTokens(long tokens) {
        mWantedTokens = tokens;
    }

    long wantedTokens() {
        return mWantedTokens;
    }

    /** Gives the request up if its answer is late; returns whether it did. */
    boolean timeOutRequest(long nowMilliseconds) {
        boolean late = nowMilliseconds - mSentMilliseconds >= mSettings.answerTimeoutMilliseconds();
        if (!mPending || !late) {
            return false;
        }
        mPending = false;
        mFailures++;
        return true;
    }

    /** Returns whether an answer belongs to the request under way, which it ends. */
    boolean acceptAnswer(NodeName sender, GrantAnswer answer) {
        boolean expected =
                mPending
                        && sender.equals(mHome)
                        && answer.getFencing() == mFencing
                        && answer.getIncarnation() == mSettings.incarnation()
                        && answer.getNumber() == mNumber;
        if (expected) {
            mPending = false;
            mFailures = 0;
        }
        return expected;
    }
}
