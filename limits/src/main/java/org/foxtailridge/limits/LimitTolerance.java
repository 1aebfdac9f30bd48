package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * By how much a limit may be passed within any window.
 *
 * @param window length of the windows
 * @param share part of what the limit allows within a window
 * @param tokens tokens beyond that part
 */
public record LimitTolerance(Duration window, double share, long tokens) {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    // The rest covers the quarter of a floor that a process starts with.
    private static final double PART_USED = 0.8;

    /** Checks that nothing is negative. */
    public LimitTolerance {
        Objects.requireNonNull(window, "window");
        if (share < 0 || tokens < 0) {
            throw new IllegalArgumentException(
                    "share and tokens must not be negative but were " + share + " and " + tokens);
        }
    }

    /** Returns the tokens that floors may hold together for a limit. */
    public long totalFloorBurstTokens(TokenLimit limit) {
        double seconds = window.toMillis() / MILLISECONDS_PER_SECOND;
        double allowed = limit.rateTokensPerSecond() * seconds + limit.burstTokens();
        return (long) (PART_USED * (share * allowed + tokens));
    }
}
