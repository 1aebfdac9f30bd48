package org.foxtailridge.limits.grant;

/** Exponentially weighted moving average of a token rate, in tokens per second. */
final class TokenRateMeter {
    private static final double TIME_CONSTANT_MILLISECONDS = 600;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private double mTokensPerSecond;
    private long mTokens;
    private long mIntervalStartMilliseconds;

    TokenRateMeter(long nowMilliseconds) {
        mIntervalStartMilliseconds = nowMilliseconds;
    }

    void add(long tokens) {
        mTokens += tokens;
    }

    void update(long nowMilliseconds) {
        long elapsed = nowMilliseconds - mIntervalStartMilliseconds;
        if (elapsed <= 0) {
            return;
        }
        double current = mTokens * MILLISECONDS_PER_SECOND / elapsed;
        double weight = 1 - Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
        mTokensPerSecond += (current - mTokensPerSecond) * weight;
        mTokens = 0;
        mIntervalStartMilliseconds = nowMilliseconds;
    }

    long tokensPerSecond() {
        return (long) mTokensPerSecond;
    }
}
