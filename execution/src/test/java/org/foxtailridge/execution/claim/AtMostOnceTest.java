package org.foxtailridge.execution.claim;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Checks that no key runs twice and that every answer is true, whatever fails. */
class AtMostOnceTest {
    private static final int STEPS = 120;

    @Property(seed = "4201", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_dispatch_each_key_at_most_once(@ForAll long seed) {
        // GIVEN
        ClaimFleet fleet = new ClaimFleet(seed, new ClaimRules());
        // WHEN
        fleet.run(STEPS);
        // THEN
        assertThat(fleet.naive().failures()).as("seed %d", seed).isEmpty();
    }

    @Property(seed = "4202", tries = 500, shrinking = ShrinkingMode.OFF)
    void should_serve_again_and_agree_on_every_node_once_all_is_healed(@ForAll long seed) {
        // GIVEN
        ClaimFleet fleet = new ClaimFleet(seed, new ClaimRules());
        fleet.run(STEPS);
        // WHEN
        boolean served = fleet.servesNewKeyAfterHealing();
        // THEN
        assertThat(fleet.naive().failures()).as("seed %d", seed).isEmpty();
        assertThat(served).as("seed %d", seed).isTrue();
        assertThat(fleet.tables()).as("seed %d", seed).containsOnly(fleet.foldedAnew());
    }
}
