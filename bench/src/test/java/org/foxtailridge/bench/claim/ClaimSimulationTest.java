package org.foxtailridge.bench.claim;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that claims stay within what the log takes, however many calls there are. */
class ClaimSimulationTest {
    private static final int NODES = 9;
    private static final int INTERVAL_MILLISECONDS = 50;

    @ParameterizedTest
    @ValueSource(ints = {9, 350, 1_750})
    void should_stay_within_the_appends_that_the_log_takes(int callsPerSecond) {
        // WHEN
        ClaimRun run = new ClaimSimulation(NODES, callsPerSecond, INTERVAL_MILLISECONDS, 1).run();
        // THEN
        assertThat(run.appendsPerSecond()).isLessThan(200);
        assertThat(run.refused()).isZero();
        assertThat(run.waits().getValueAtPercentile(99)).isLessThan(150);
    }

    @ParameterizedTest
    @ValueSource(ints = {350, 1_750})
    void should_see_too_many_appends_without_batches(int callsPerSecond) {
        // WHEN
        ClaimRun run = new ClaimSimulation(NODES, callsPerSecond, 0, 1).run();
        // THEN
        assertThat(run.appendsPerSecond()).isGreaterThan(200);
    }
}
