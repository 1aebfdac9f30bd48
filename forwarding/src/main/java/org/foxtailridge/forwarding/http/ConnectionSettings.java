package org.foxtailridge.forwarding.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of connections to endpoints.
 *
 * @param connectTimeout time after which a connection that does not come about is given up
 * @param idleTime time for which a connection may lie idle when the endpoint names none
 * @param idleTimeAtMostOnce time for which it may have lain idle for a request that may not be sent
 *     again
 * @param maximumHeadBytes largest head of an answer
 */
public record ConnectionSettings(
        Duration connectTimeout,
        Duration idleTime,
        Duration idleTimeAtMostOnce,
        int maximumHeadBytes) {
    /** Checks that no time is missing. */
    public ConnectionSettings {
        Objects.requireNonNull(connectTimeout, "connectTimeout");
        Objects.requireNonNull(idleTime, "idleTime");
        Objects.requireNonNull(idleTimeAtMostOnce, "idleTimeAtMostOnce");
    }

    /** Returns the default settings, for endpoints a few milliseconds away. */
    public static ConnectionSettings defaults() {
        return new ConnectionSettings(
                Duration.ofMillis(400), Duration.ofSeconds(4), Duration.ofMillis(1_500), 32_768);
    }
}
