package org.foxtailridge.limits;

/**
 * Rate and burst limit of one client account over all nodes together.
 *
 * @param rateTokensPerSecond refill rate; 1 to {@link #MAXIMUM_TOKENS}
 * @param burstTokens tokens that may be used at once; 1 to {@link #MAXIMUM_TOKENS}
 */
public record TokenLimit(long rateTokensPerSecond, long burstTokens) {
    /** Largest rate or burst, in tokens, for which millionths of a token fit into a long. */
    public static final long MAXIMUM_TOKENS = 1_000_000_000_000L;

    /** Rejects numbers out of range. */
    public TokenLimit {
        requireInRange("rateTokensPerSecond", rateTokensPerSecond);
        requireInRange("burstTokens", burstTokens);
    }

    /** Returns a limit with this rate and burst. */
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
