package org.foxtailridge.objectives.handover;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Compares merged counts with a plain list of all events over random interleavings. */
class BurnInterleavingsTest {
    private static final long SEED = 41;
    private static final int INTERLEAVINGS = 10_000;

    @Test
    void should_count_every_event_once_through_lost_late_and_doubled_handovers() {
        for (int run = 0; run < INTERLEAVINGS; run++) {
            FleetOfCounters.run(RandomSource.XO_SHI_RO_256_PP.create(SEED + run), false);
        }
    }

    @Test
    void should_catch_a_receiver_that_takes_handovers_twice() {
        assertThatThrownBy(
                        () -> {
                            for (int run = 0; run < INTERLEAVINGS; run++) {
                                FleetOfCounters.run(
                                        RandomSource.XO_SHI_RO_256_PP.create(SEED + run), true);
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }
}
