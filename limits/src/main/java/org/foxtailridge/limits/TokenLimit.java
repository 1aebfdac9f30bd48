package org.foxtailridge.limits;

/**
 * Limit of one client account over all nodes together.
 *
 * @param rateTokensPerSecond tokens refilled each second; at least 1
 * @param burstTokens tokens that may be used at once; at least 1
 */
public record TokenLimit(long rateTokensPerSecond, long burstTokens) {
    /** Largest rate or burst, in tokens, that the arithmetic carries. */
    public static final long MAXIMUM_TOKENS = 1_000_000_000_000L;

    /** Checks the range. */
    public TokenLimit {
        requireInRange("rateTokensPerSecond", rateTokensPerSecond);
        requireInRange("burstTokens", burstTokens);
    }

    /** Returns a limit of the given rate and burst. */
    public static TokenLimit of(long rateTokensPerSecond, long burstTokens) {
        return new TokenLimit(rateTokensPerSecond, burstTokens);
    }

    private static void requireInRange(String name, long value) {
        if (value < 1 || value > MAXIMUM_TOKENS) {
            throw new IllegalArgumentException(
                    name + " must be 1 to " + MAXIMUM_TOKENS + " but was " + value);
        }
    }
}
