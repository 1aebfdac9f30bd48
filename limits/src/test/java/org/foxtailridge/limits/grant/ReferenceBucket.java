package org.foxtailridge.limits.grant;

/** Reference model of the limit: one token bucket, full at the start, without rounding. */
final class ReferenceBucket {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final double mTokensPerSecond;
    private final double mBurstTokens;
    private double mLevelTokens;
    private long mNowMilliseconds;
    private double mExcessTokens;

    ReferenceBucket(long rateTokensPerSecond, long burstTokens) {
        mTokensPerSecond = rateTokensPerSecond;
        mBurstTokens = burstTokens;
        mLevelTokens = burstTokens;
    }

    void deduct(long tokens, long nowMilliseconds) {
        double refill =
                (nowMilliseconds - mNowMilliseconds) * mTokensPerSecond / MILLISECONDS_PER_SECOND;
        mLevelTokens = Math.min(mBurstTokens, mLevelTokens + refill);
        mNowMilliseconds = nowMilliseconds;
        mLevelTokens -= tokens;
        mExcessTokens = Math.max(mExcessTokens, -mLevelTokens);
    }

    /** Returns the largest excess of any window in tokens; ignores rounding errors. */
    long excessTokens() {
        return (long) Math.ceil(mExcessTokens - 1e-6);
    }
}
