package org.foxtailridge.forwarding.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and size limits of connections to endpoints.
 *
 * @param connectTimeout maximum time to establish a connection
 * @param idleTimeout time for which an idle connection is kept and reused, unless the endpoint's
 *     {@code Keep-Alive} header names one
 * @param atMostOnceIdleTimeout maximum idle time of a connection that is reused for a request that
 *     may be sent at most once
 * @param maximumHeadBytes maximum size of the headers of an answer
 */
public record ConnectionSettings(
        Duration connectTimeout,
        Duration idleTimeout,
        Duration atMostOnceIdleTimeout,
        int maximumHeadBytes) {
    /** Creates settings; no time may be null. */
    public ConnectionSettings {
        Objects.requireNonNull(connectTimeout, "connectTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        Objects.requireNonNull(atMostOnceIdleTimeout, "atMostOnceIdleTimeout");
    }

    /** Returns the defaults, for endpoints at a distance of a few milliseconds. */
    public static ConnectionSettings defaults() {
        // connectTimeout, idleTimeout, atMostOnceIdleTimeout, maximumHeadBytes
        return new ConnectionSettings(
                Duration.ofMillis(400), Duration.ofSeconds(4), Duration.ofMillis(1_500), 32_768);
    }
}
