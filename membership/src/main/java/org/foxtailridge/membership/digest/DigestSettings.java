package org.foxtailridge.membership.digest;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and sizes of the dissemination over collectors.
 *
 * @param reportInterval time between two reports of a node, and between two digests of a collector
 *     while a digest is small
 * @param maximumAge age from which on a report or a digest no longer counts
 * @param answerTimeout time without a digest after which a node turns to another collector
 * @param suspension time for which a collector that did not answer is not chosen
 * @param digestBytesPerSecond bytes of digests that a node receives per second; larger digests are
 *     sent less often
 */
public record DigestSettings(
        Duration reportInterval,
        Duration maximumAge,
        Duration answerTimeout,
        Duration suspension,
        int digestBytesPerSecond) {
    private static final int DEFAULT_DIGEST_BYTES_PER_SECOND = 6_000;

    /** Checks that the settings are complete and positive. */
    public DigestSettings {
        Objects.requireNonNull(reportInterval, "reportInterval");
        Objects.requireNonNull(maximumAge, "maximumAge");
        Objects.requireNonNull(answerTimeout, "answerTimeout");
        Objects.requireNonNull(suspension, "suspension");
        if (digestBytesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "digestBytesPerSecond must be at least 1 but was " + digestBytesPerSecond);
        }
    }

    /** Returns the defaults, with which a collector that fails is replaced within 1 s. */
    public static DigestSettings defaults() {
        return new DigestSettings(
                Duration.ofMillis(300),
                Duration.ofMillis(1_500),
                Duration.ofMillis(900),
                Duration.ofSeconds(4),
                DEFAULT_DIGEST_BYTES_PER_SECOND);
    }
}
