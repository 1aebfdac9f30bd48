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
 * @param relayedAge age of the last confirmation up to which the follower reads nothing itself, as
 *     another node informs it; zero for a follower that always reads
 */
public record FollowerTimings(
        Duration longPollTimeout,
        Duration readInterval,
        Duration retryBackoff,
        Duration relayedAge) {
    /** Creates timings of a follower that always reads. */
    public FollowerTimings(Duration longPollTimeout, Duration readInterval, Duration retryBackoff) {
        this(longPollTimeout, readInterval, retryBackoff, Duration.ZERO);
    }

    /** Returns these timings for a follower that another node informs. */
    public FollowerTimings relayedUpTo(Duration age) {
        return new FollowerTimings(longPollTimeout, readInterval, retryBackoff, age);
    }

    /** Creates timings; no time may be null. */
    public FollowerTimings {
        Objects.requireNonNull(relayedAge, "relayedAge");
        Objects.requireNonNull(longPollTimeout, "longPollTimeout");
        Objects.requireNonNull(readInterval, "readInterval");
        Objects.requireNonNull(retryBackoff, "retryBackoff");
    }
}
