package org.foxtailridge.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds the chosen policy to its targets beside round robin, at the load where engines fill up. */
class RoutingComparisonTest {
    private static final double FULL_LOAD = 7;
    private static final double LEAST_OF_ROUND_ROBIN = 1.3;
    private static final double LARGEST_GAP = 0.05;

    static Stream<Deployment> deployments() {
        return Stream.of(Deployment.vitiStone(), Deployment.vozQuetzal());
    }

    @ParameterizedTest
    @MethodSource("deployments")
    void should_attain_more_for_each_accelerator_than_round_robin(Deployment deployment) {
        // GIVEN
        List<Journey> demand = Demand.of(deployment, 1, FULL_LOAD * deployment.engines());
        // WHEN
        Outcome turns = run(deployment, demand, Policy.ROUND_ROBIN);
        Outcome chosen = run(deployment, demand, Policy.EXPECTED_TIME);
        // THEN
        assertThat(chosen.attainedPerAcceleratorSecond())
                .isGreaterThanOrEqualTo(
                        LEAST_OF_ROUND_ROBIN * turns.attainedPerAcceleratorSecond());
        assertThat(chosen.meanAccount() - chosen.worstAccount()).isLessThanOrEqualTo(LARGEST_GAP);
    }

    @Test
    void should_give_the_same_figures_for_the_same_seed() {
        // GIVEN
        Deployment deployment = Deployment.vitiStone();
        List<Journey> demand = Demand.of(deployment, 3, deployment.engines());
        // THEN
        assertThat(run(deployment, demand, Policy.EXPECTED_TIME))
                .isEqualTo(run(deployment, demand, Policy.EXPECTED_TIME));
    }

    private static Outcome run(Deployment deployment, List<Journey> demand, Policy policy) {
        return new Simulation(deployment, demand, policy, false, 1).run();
    }
}
