package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size of callers' requests and on the time to receive them.
 *
 * @param maximumHeadBytes maximum size of a request's head in bytes
 * @param maximumBodyBytes maximum size of a request's body in bytes
 * @param headTimeout maximum time between the first and the last byte of a head
 * @param idleTimeout time without traffic after which a connection is closed
 */
public record CallerLimits(
        int maximumHeadBytes, int maximumBodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** Limits used until a configuration has been read. */
    public static final CallerLimits DEFAULTS =
            // maximumHeadBytes, maximumBodyBytes, headTimeout, idleTimeout
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Rejects null components. */
    public CallerLimits {
        Objects.requireNonNull(headTimeout, "headTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
