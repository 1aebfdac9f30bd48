package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of leases, which must be the same on all nodes. Immutable.
 *
 * @param duration time for which a lease is valid after an acquisition or renewal, at most {@link
 *     #MAXIMUM_DURATION}
 * @param renewPeriod time between two renewals by a node, at most half of {@code duration}
 * @param appendTimeout time after which the manager stops waiting for an append and may send again
 * @param clockSlack time after an acquisition was sent within which the log must append it; also
 *     part of the margin after which other nodes treat a lease as expired
 * @param maximumDriftShare maximum relative difference in speed between the clocks of two nodes
 * @param takeoverDelay time that each further rank waits before it acquires a free lease
 * @param maximumOperations maximum number of operations in one record, at least 1
 */
public record LeaseSettings(
        Duration duration,
        Duration renewPeriod,
        Duration appendTimeout,
        Duration clockSlack,
        double maximumDriftShare,
        Duration takeoverDelay,
        int maximumOperations) {
    /** Upper bound of {@code duration}. */
    public static final Duration MAXIMUM_DURATION = Duration.ofSeconds(60);

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if a component is out of range
     */
    public LeaseSettings {
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(renewPeriod, "renewPeriod");
        Objects.requireNonNull(appendTimeout, "appendTimeout");
        Objects.requireNonNull(clockSlack, "clockSlack");
        Objects.requireNonNull(takeoverDelay, "takeoverDelay");
        if (duration.compareTo(MAXIMUM_DURATION) > 0) {
            throw new IllegalArgumentException(
                    "duration must be at most " + MAXIMUM_DURATION + " but was " + duration);
        }
        if (renewPeriod.multipliedBy(2).compareTo(duration) > 0) {
            throw new IllegalArgumentException(
                    "renewPeriod must be at most half of the duration but was " + renewPeriod);
        }
        if (maximumOperations < 1) {
            throw new IllegalArgumentException(
                    "maximumOperations must be at least 1 but was " + maximumOperations);
        }
    }

    /** Returns settings with a duration of 10 s and a renewal every 3 s. */
    public static LeaseSettings defaults() {
        return new LeaseSettings(
                Duration.ofSeconds(10),
                Duration.ofSeconds(3),
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                0.02,
                Duration.ofSeconds(3),
                256);
    }

    /**
     * Returns the milliseconds after which other nodes treat a lease as expired: its duration plus
     * a margin for late records and clock drift, so that the holder stops first.
     */
    long expiryMs(long durationMs) {
        return durationMs + clockSlack.toMillis() + Math.round(durationMs * maximumDriftShare);
    }
}
