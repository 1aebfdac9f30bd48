package org.foxtailridge.membership.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of leases; equal on all nodes. Immutable.
 *
 * @param duration time for which a lease lasts
 * @param renewPeriod time between two records of a node
 * @param appendTimeout time after which the answer of an append is given up
 * @param clockSlack time by which an acquisition may arrive late
 * @param driftShare largest share by which the clocks of two nodes differ in speed
 * @param takeoverDelay time that each further rank waits before it acquires
 * @param maximumOperations largest number of operations in one record
 */
public record LeaseSettings(
        Duration duration,
        Duration renewPeriod,
        Duration appendTimeout,
        Duration clockSlack,
        double driftShare,
        Duration takeoverDelay,
        int maximumOperations) {
    /** Longest duration of a lease. */
    public static final Duration MAXIMUM_DURATION = Duration.ofSeconds(60);

    /** Checks the parts. */
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

    /** Returns the default settings. */
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

    /** Returns the milliseconds that others count for a lease of the given duration. */
    long lapseMs(long durationMs) {
        return durationMs + clockSlack.toMillis() + Math.round(durationMs * driftShare);
    }
}
