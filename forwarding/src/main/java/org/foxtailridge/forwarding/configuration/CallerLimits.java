package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller may send and how long it may take.
 *
 * @param maximumHeadBytes largest head of a request
 * @param maximumBodyBytes largest body of a request
 * @param headTimeout time from the first byte of a head to its last
 * @param idleTimeout time without a byte after which a connection is closed
 */
public record CallerLimits(
        int maximumHeadBytes, int maximumBodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** Limits that hold until a configuration is known. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks that no part is missing. */
    public CallerLimits {
        Objects.requireNonNull(headTimeout, "headTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
