package org.foxtailridge.bench.limits;

import org.foxtailridge.limits.TokenLimit;

/** One exact bucket, full at the start, that all used tokens of a client account are taken from. */
final class WindowCheck {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double ROUNDING = 1e-6;

    private final TokenLimit mLimit;
    private double mLevel;
    private double mOver;
    private long mNow;

    WindowCheck(TokenLimit limit) {
        mLimit = limit;
        mLevel = limit.burstTokens();
    }

    void use(long tokens, long now) {
        double refill = (now - mNow) * limitRate() / MILLISECONDS_PER_SECOND;
        mLevel = Math.min(mLimit.burstTokens(), mLevel + refill) - tokens;
        mNow = now;
        mOver = Math.max(mOver, -mLevel);
    }

    long overTokens() {
        return (long) Math.ceil(mOver - ROUNDING);
    }

    private double limitRate() {
        return mLimit.rateTokensPerSecond();
    }
}
