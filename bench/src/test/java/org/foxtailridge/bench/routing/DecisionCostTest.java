package org.foxtailridge.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds the processor time of a decision to its target. */
class DecisionCostTest {
    private static final double LARGEST_MICROSECONDS = 20;

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 5_500})
    void should_decide_within_the_target(int endpoints) {
        assertThat(DecisionCost.microseconds(endpoints)).isLessThan(LARGEST_MICROSECONDS);
    }
}
