package org.foxtailridge.placement.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.configuration.model.Configuration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the planner and the orders together, with lists that change under faults. */
class PlannerFaultsTest {
    private static final int SEEDS = 10_000;
    private static final int CALM_SLICES = 12;
    private static final Duration CALM_SLICE = Duration.ofSeconds(10);

    @Test
    void should_end_with_every_listed_model_reachable_without_overcommitment() throws Exception {
        assertThat(Interleavings.firstViolation(SEEDS, PlannerFaultsTest::violations)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_stay_within_the_limits_of_the_weight_store(long seed) {
        // GIVEN
        Simulation simulation =
                Scenario.simulation(seed, SimulationSettings.CALM, builder -> builder);
        // WHEN
        simulation.run(Duration.ofSeconds(60));
        // THEN
        List<Long> starts = simulation.modelLoadStarts();
        assertThat(starts).hasSizeGreaterThanOrEqualTo(Scenario.MODELS.size());
        assertThat(simulation.mostModelLoads()).isLessThanOrEqualTo(Scenario.LOADS_AT_ONCE);
        long jitterMilliseconds = 1_000;
        for (int first = 0; first < starts.size(); first++) {
            for (int last = first + 1; last < starts.size(); last++) {
                double seconds = (starts.get(last) - starts.get(first) + jitterMilliseconds) / 1e3;
                assertThat(last - first)
                        .isLessThanOrEqualTo((int) (seconds * Scenario.LOADS_PER_SECOND) + 1);
            }
        }
    }

    private static List<String> violations(long seed) {
        Simulation simulation =
                Scenario.simulation(seed, SimulationSettings.STORMY, builder -> builder);
        simulation.run(Duration.ofSeconds(15));
        Configuration rolled =
                Scenario.configuration().offset(2).put(Scenario.model("a", "2")).build();
        simulation.configuration(rolled);
        simulation.run(Duration.ofSeconds(15));
        simulation.configuration(
                rolled.toBuilder().offset(3).put(Scenario.model("b", "2")).build());
        simulation.run(Duration.ofSeconds(10));
        simulation.stopFaults();
        for (int slice = 0; slice < CALM_SLICES && !isSettled(simulation); slice++) {
            simulation.run(CALM_SLICE);
        }
        List<String> violations = new ArrayList<>(simulation.violations());
        if (!isSettled(simulation)) {
            violations.add(
                    "unsettled: " + simulation.unresolvedOrders() + " orders without an end");
        }
        return violations;
    }

    private static boolean isSettled(Simulation simulation) {
        return simulation.unresolvedOrders() == 0
                && Scenario.MODELS.stream().allMatch(simulation::isReachable);
    }
}
