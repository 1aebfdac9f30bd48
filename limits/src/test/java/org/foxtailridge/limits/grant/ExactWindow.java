package org.foxtailridge.limits.grant;

/** The naive limit: one bucket, full at the start, that every used token is taken from. */
final class ExactWindow {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final double mRate;
    private final double mBurst;
    private double mLevel;
    private long mNowMilliseconds;
    private double mOver;

    ExactWindow(long rateTokensPerSecond, long burstTokens) {
        mRate = rateTokensPerSecond;
        mBurst = burstTokens;
        mLevel = burstTokens;
    }

    void take(long tokens, long nowMilliseconds) {
        double refill = (nowMilliseconds - mNowMilliseconds) * mRate / MILLISECONDS_PER_SECOND;
        mLevel = Math.min(mBurst, mLevel + refill);
        mNowMilliseconds = nowMilliseconds;
        mLevel -= tokens;
        mOver = Math.max(mOver, -mLevel);
    }

    /** Returns the most tokens by which any window was exceeded, without rounding errors. */
    long excessTokens() {
        return (long) Math.ceil(mOver - 1e-6);
    }
}
