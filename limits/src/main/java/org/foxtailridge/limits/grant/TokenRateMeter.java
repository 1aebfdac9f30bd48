package org.foxtailridge.limits.grant;

/** Moving average of the tokens that a node reserves in a second. */
final class TokenRateMeter {
    private static final double TIME_CONSTANT_MILLISECONDS = 600;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private double mTokensPerSecond;
    private long mTokens;
    private long mSinceMilliseconds;

    TokenRateMeter(long nowMilliseconds) {
        mSinceMilliseconds = nowMilliseconds;
    }

    void add(long tokens) {
        mTokens += tokens;
    }

    void update(long nowMilliseconds) {
        long elapsed = nowMilliseconds - mSinceMilliseconds;
        if (elapsed <= 0) {
            return;
        }
        double current = mTokens * MILLISECONDS_PER_SECOND / elapsed;
        double weight = 1 - Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
        mTokensPerSecond += (current - mTokensPerSecond) * weight;
        mTokens = 0;
        mSinceMilliseconds = nowMilliseconds;
    }

    long tokensPerSecond() {
        return (long) mTokensPerSecond;
    }
}
