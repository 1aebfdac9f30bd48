package org.foxtailridge.membership.group;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of the membership in a group.
 *
 * @param lifetime time without a join after which the group removes a member
 * @param joinInterval time between two joins
 * @param margin time by which this node stops acting on a duty before the group can assign it to
 *     another member; covers clock drift and the time between the last check of the clock and the
 *     last byte sent
 * @param acquisitionDelay time after the first join during which the node acquires no duty; the
 *     first member of a new group is assigned all duties and would soon have to hand most of them
 *     on
 * @param answerTimeout time after which the node stops waiting for the answer to a join
 */
public record GroupSettings(
        Duration lifetime,
        Duration joinInterval,
        Duration margin,
        Duration acquisitionDelay,
        Duration answerTimeout) {
    /**
     * Checks that joins are frequent enough to keep the membership.
     *
     * @throws IllegalArgumentException if {@code joinInterval} and {@code margin} together are not
     *     below {@code lifetime}
     */
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
