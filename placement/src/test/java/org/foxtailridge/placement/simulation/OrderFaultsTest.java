package org.foxtailridge.placement.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.foxtailridge.placement.Placement;
import org.foxtailridge.placement.PlacementMutation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks orders under faults, with random steps in place of the planner's. */
class OrderFaultsTest {
    private static final int SEEDS = 10_000;
    private static final int CALM_SLICES = 12;
    private static final Duration CALM_SLICE = Duration.ofSeconds(10);

    @Test
    void should_never_overcommit_memory_nor_unload_a_last_copy() throws Exception {
        assertThat(
                        Interleavings.firstViolation(
                                SEEDS, seed -> violations(seed, UnaryOperator.identity())))
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(PlacementMutation.class)
    void should_notice_a_mutated_rule(PlacementMutation mutation) throws Exception {
        assertThat(
                        Interleavings.firstViolation(
                                SEEDS,
                                seed ->
                                        violations(seed, mutation).stream()
                                                .filter(text -> text.contains(mutation.violation()))
                                                .toList()))
                .isPresent();
    }

    private static List<String> violations(long seed, UnaryOperator<Placement.Builder> mutation) {
        Simulation simulation = Scenario.simulation(seed, SimulationSettings.STORMY, mutation);
        simulation.stepAtRandom(0.5);
        simulation.run(Duration.ofSeconds(40));
        simulation.stopFaults();
        for (int slice = 0; slice < CALM_SLICES && simulation.unresolvedOrders() > 0; slice++) {
            simulation.run(CALM_SLICE);
        }
        List<String> violations = new ArrayList<>(simulation.violations());
        if (simulation.unresolvedOrders() > 0) {
            violations.add(simulation.unresolvedOrders() + " orders without an end");
        }
        return violations;
    }
}
