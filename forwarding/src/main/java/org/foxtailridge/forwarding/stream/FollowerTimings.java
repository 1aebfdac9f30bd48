package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.Objects;

/**
 * Timings of a follower's reads.
 *
 * @param longPollTimeout maximum time that the log holds a read open until a record arrives (long
 *     polling); zero for an immediate answer
 * @param readInterval time between the end of a successful read and the next read
 * @param retryBackoff time between the end of a failed read and the next read
 */
public record FollowerTimings(
        Duration longPollTimeout, Duration readInterval, Duration retryBackoff) {
    /** Creates timings; no time may be null. */
    public FollowerTimings {
        Objects.requireNonNull(longPollTimeout, "longPollTimeout");
        Objects.requireNonNull(readInterval, "readInterval");
        Objects.requireNonNull(retryBackoff, "retryBackoff");
    }
}
