package org.foxtailridge.membership.group;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of the membership in a group.
 *
 * @param lifetime silence after which the group takes a member's duties away
 * @param joinInterval time between two joins
 * @param margin time by which this node stops before the group takes a duty away; covers the drift
 *     of clocks and the time between the last look at the clock and the last byte sent
 * @param acquisitionDelay time after the first join before which nothing is taken; the first member
 *     of a group that starts is given everything, and would have to hand most of it on
 * @param answerTimeout time after which a join without an answer is given up
 */
public record GroupSettings(
        Duration lifetime,
        Duration joinInterval,
        Duration margin,
        Duration acquisitionDelay,
        Duration answerTimeout) {
    /** Checks that joins come often enough to keep the membership. */
    public GroupSettings {
        Objects.requireNonNull(lifetime, "lifetime");
        Objects.requireNonNull(joinInterval, "joinInterval");
        Objects.requireNonNull(margin, "margin");
        Objects.requireNonNull(acquisitionDelay, "acquisitionDelay");
        Objects.requireNonNull(answerTimeout, "answerTimeout");
        if (joinInterval.plus(margin).compareTo(lifetime) >= 0) {
            throw new IllegalArgumentException(
                    "joinInterval and margin must be below lifetime "
                            + lifetime
                            + " but were "
                            + joinInterval
                            + " and "
                            + margin);
        }
    }
}
