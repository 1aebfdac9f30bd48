package org.foxtailridge.execution.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * A budget of retries of a whole fleet.
 *
 * @param window time over which it holds
 * @param share retries for each request
 * @param allowance retries beyond the share, over all nodes
 */
public record FleetRetrySettings(Duration window, double share, double allowance) {
    /** Checks the figures. */
    public FleetRetrySettings {
        Objects.requireNonNull(window, "window");
        if (share < 0 || allowance < 0) {
            throw new IllegalArgumentException(
                    "share and allowance must not be negative but were "
                            + share
                            + " and "
                            + allowance);
        }
    }
}
