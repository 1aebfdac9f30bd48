package org.foxtailridge.limits.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.foxtailridge.limits.LimitTolerance;
import org.junit.jupiter.api.Test;

/**
 * Guards against nodes that together use more than burst plus rate times time in any window.
 * Message loss, pauses, replaced processes and moved leases may make two nodes use the same tokens.
 */
class LimitWindowTest {
    private static final int STEPS = 400;

    @Property(seed = "4101", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_stay_within_the_limit_in_every_window(@ForAll long seed) {
        // GIVEN
        LimitsFleet fleet = new LimitsFleet(seed, new GrantRules());
        // WHEN
        fleet.run(STEPS);
        // THEN
        assertThat(fleet.excessTokens()).as("tokens beyond the limit, seed %d", seed).isZero();
    }

    @Property(seed = "4102", tries = 5_000, shrinking = ShrinkingMode.OFF)
    void should_stay_within_limit_and_tolerance_when_floors_are_used_first(@ForAll long seed) {
        // GIVEN
        LimitTolerance tolerance = new LimitTolerance(Duration.ofSeconds(8), 0.1, 2_000);
        LimitsFleet fleet = new LimitsFleet(seed, new GrantRules(), Optional.of(tolerance));
        // WHEN
        fleet.run(STEPS);
        // THEN
        assertThat(fleet.excessTokens()).as("tokens beyond the limit, seed %d", seed).isZero();
    }

    @Test
    void should_still_admit_requests_under_faults() {
        // GIVEN
        long fleets = 200;
        // WHEN
        long used =
                LongStream.range(0, fleets)
                        .mapToObj(seed -> new LimitsFleet(seed, new GrantRules()))
                        .peek(fleet -> fleet.run(STEPS))
                        .mapToLong(LimitsFleet::usedTokens)
                        .sum();
        // THEN the properties above do not hold merely because no tokens are granted
        assertThat(used / fleets).isGreaterThan(2_000);
    }
}
