package org.foxtailridge.bench.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the targets of the limits on the demand of the deployments. */
class LimitsSimulationTest {
    private static final long SEED = 1;
    private static final int NODES = 9;
    private static final double CONTROL_BYTES_PER_SECOND = 2_000;

    @ParameterizedTest
    @CsvSource({
        "even, 0.005",
        "one node, 0.005",
        "shifting, 0.005",
        "one at 4 x rate, 0.005",
        "crash a minute, 0.02",
        "planned a minute, 0.02"
    })
    void should_refuse_little_inside_the_rate_and_admit_nothing_over_it(
            String name, double mostRefused) {
        // GIVEN
        DemandScenario scenario = scenario(name);
        List<LimitedRequest> requests = new LimitsDemand(scenario, SEED).requests();
        LimitsRun exact = new LimitsSimulation(scenario, LimiterPolicy.singleBucket(), SEED).run();
        // WHEN
        LimitsRun run = new LimitsSimulation(scenario, LimiterPolicy.grants(NODES), SEED).run();
        // THEN
        double refused = new RefusalCount(requests, exact).share(run, request -> true);
        assertThat(run.overTokens()).isZero();
        assertThat(refused).isLessThan(mostRefused);
        assertThat(run.bytesPerSecond()).isLessThan(CONTROL_BYTES_PER_SECOND);
    }

    @Test
    void should_see_the_refusals_of_an_equal_split() {
        // GIVEN
        DemandScenario scenario = scenario("one node");
        List<LimitedRequest> requests = new LimitsDemand(scenario, SEED).requests();
        LimitsRun exact = new LimitsSimulation(scenario, LimiterPolicy.singleBucket(), SEED).run();
        // WHEN
        LimitsRun run = new LimitsSimulation(scenario, LimiterPolicy.equalSplit(NODES), SEED).run();
        // THEN
        double refused = new RefusalCount(requests, exact).share(run, request -> true);
        assertThat(refused).isGreaterThan(0.5);
    }

    private static DemandScenario scenario(String name) {
        return LimitsComparison.scenarios().stream()
                .filter(scenario -> scenario.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
