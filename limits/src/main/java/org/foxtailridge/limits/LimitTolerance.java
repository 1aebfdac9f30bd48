package org.foxtailridge.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * Tolerance by which the tokens used within any window of a length may exceed a limit.
 *
 * @param window length of the window
 * @param share tolerated excess as a share of what the limit allows within a window
 * @param tokens tolerated excess in tokens, added to the share
 */
public record LimitTolerance(Duration window, double share, long tokens) {
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    // Part of the tolerance that the bursts of all floors may use. The rest covers the quarter of
    // its floor that a new process starts with, which the replaced process may just have used.
    private static final double FLOOR_SHARE = 0.8;

    /** Rejects null and negative numbers. */
    public LimitTolerance {
        Objects.requireNonNull(window, "window");
        if (share < 0 || tokens < 0) {
            throw new IllegalArgumentException(
                    "share and tokens must not be negative but were " + share + " and " + tokens);
        }
    }

    /**
     * Returns the burst of all floors together, in tokens, that the tolerance covers for a limit.
     */
    public long totalFloorBurstTokens(TokenLimit limit) {
        double seconds = window.toMillis() / MILLISECONDS_PER_SECOND;
        double allowed = limit.rateTokensPerSecond() * seconds + limit.burstTokens();
        return (long) (FLOOR_SHARE * (share * allowed + tokens));
    }
}
