package org.foxtailridge.limits.grant;

/**
 * Exponential backoff between recalls of one home node. The interval doubles while a recall brings
 * back fewer tokens than the largest grant made since; it starts again at the minimum after a
 * useful recall, or when the last one was long ago.
 */
final class RecallBackoff {
    private static final long MINIMUM_INTERVAL_MILLISECONDS = 250;
    private static final long MAXIMUM_INTERVAL_MILLISECONDS = 8_000;

    private long mLastRecallMilliseconds = Long.MIN_VALUE / 2;
    private long mIntervalMilliseconds = MINIMUM_INTERVAL_MILLISECONDS;
    private long mReceivedTokens;
    private long mLargestGrantTokens;

    boolean isDue(long nowMilliseconds) {
        return nowMilliseconds - mLastRecallMilliseconds >= mIntervalMilliseconds;
    }

    void recallSent(long nowMilliseconds) {
        boolean wasIdle =
                nowMilliseconds - mLastRecallMilliseconds >= 2 * MAXIMUM_INTERVAL_MILLISECONDS;
        boolean wasUseful = mReceivedTokens >= mLargestGrantTokens;
        mIntervalMilliseconds =
                wasIdle || wasUseful
                        ? MINIMUM_INTERVAL_MILLISECONDS
                        : Math.min(MAXIMUM_INTERVAL_MILLISECONDS, 2 * mIntervalMilliseconds);
        mLastRecallMilliseconds = nowMilliseconds;
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
