package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Timings of a follower's reads.
 *
 * @param longPollTimeout maximum time that the log holds a read open until a record arrives (long
 *     polling); zero for an immediate answer
 * @param readInterval time between the end of a successful read and the next read
 * @param retryBackoff time between the end of a failed read and the next read
 * @param relayedAge age of the last confirmation up to which the follower reads nothing itself, as
 *     another node informs it; zero for a follower that always reads
 * @param longPollOffset instant within each period of {@code longPollTimeout}, counted from the
 *     epoch, at which reads end unless a record arrives; empty if each one lasts for the timeout
 */
public record FollowerTimings(
        Duration longPollTimeout,
        Duration readInterval,
        Duration retryBackoff,
        Duration relayedAge,
        Optional<Duration> longPollOffset) {
    // A read that would end earlier lasts for one period more.
    private static final long MINIMUM_STAGGERED_MILLISECONDS = 100;

    /** Creates timings of a follower that always reads. */
    public FollowerTimings(Duration longPollTimeout, Duration readInterval, Duration retryBackoff) {
        this(longPollTimeout, readInterval, retryBackoff, Duration.ZERO, Optional.empty());
    }

    /** Returns these timings for a follower that another node informs. */
    public FollowerTimings relayedUpTo(Duration age) {
        return new FollowerTimings(
                longPollTimeout, readInterval, retryBackoff, age, longPollOffset);
    }

    /** Returns these timings with reads that end at an offset in each period. */
    public FollowerTimings staggered(Duration period, Duration offset) {
        return new FollowerTimings(
                period, readInterval, retryBackoff, relayedAge, Optional.of(offset));
    }

    /** Returns the time for which the log may hold a read open that starts at an instant. */
    Duration longPollTimeout(long startMilliseconds) {
        if (longPollOffset.isEmpty()) {
            return longPollTimeout;
        }
        long period = longPollTimeout.toMillis();
        long untilEnd = Math.floorMod(longPollOffset.get().toMillis() - startMilliseconds, period);
        boolean tooShort = untilEnd < MINIMUM_STAGGERED_MILLISECONDS;
        return Duration.ofMillis(tooShort ? untilEnd + period : untilEnd);
    }

    /** Creates timings; no time may be null. */
    public FollowerTimings {
        Objects.requireNonNull(relayedAge, "relayedAge");
        Objects.requireNonNull(longPollTimeout, "longPollTimeout");
        Objects.requireNonNull(readInterval, "readInterval");
        Objects.requireNonNull(retryBackoff, "retryBackoff");
        Objects.requireNonNull(longPollOffset, "longPollOffset");
    }
}
