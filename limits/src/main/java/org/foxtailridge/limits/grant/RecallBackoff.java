package org.foxtailridge.limits.grant;

/** Paces recalls: the time between two doubles while recalls bring nothing worth granting. */
final class RecallBackoff {
    private static final long LEAST_MILLISECONDS = 250;
    private static final long MOST_MILLISECONDS = 8_000;

    private long mStartedMilliseconds = Long.MIN_VALUE / 2;
    private long mPauseMilliseconds = LEAST_MILLISECONDS;
    private long mReceivedTokens;
    private long mLargestGrantTokens;

    boolean isDue(long nowMilliseconds) {
        return nowMilliseconds - mStartedMilliseconds >= mPauseMilliseconds;
    }

    void recallSent(long nowMilliseconds) {
        boolean first = nowMilliseconds - mStartedMilliseconds >= 2 * MOST_MILLISECONDS;
        boolean useful = mReceivedTokens >= mLargestGrantTokens;
        mPauseMilliseconds =
                first || useful
                        ? LEAST_MILLISECONDS
                        : Math.min(MOST_MILLISECONDS, 2 * mPauseMilliseconds);
        mStartedMilliseconds = nowMilliseconds;
        mReceivedTokens = 0;
        mLargestGrantTokens = 1;
    }

    void addReceivedTokens(long tokens) {
        mReceivedTokens += tokens;
    }

    void addGrant(long tokens) {
        mLargestGrantTokens = Math.max(mLargestGrantTokens, tokens);
    }
}
