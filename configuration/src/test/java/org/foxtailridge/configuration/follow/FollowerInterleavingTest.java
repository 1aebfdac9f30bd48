package org.foxtailridge.configuration.follow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.protocol.configuration.RelayedRecord;
import org.junit.jupiter.api.Test;

/**
 * Checks, over random interleavings of faults, that no node's offset falls, that every state of a
 * node is a state that the log passed through, and that all nodes agree once the faults end.
 */
class FollowerInterleavingTest {
    private static final int STEPS = 120;

    @Property(tries = 10_000, seed = "4102")
    void should_only_move_forward_through_states_of_the_log(@ForAll long seed) {
        assertThat(run(seed, FollowedState::new)).isEmpty();
    }

    @Test
    void should_catch_a_node_that_takes_over_older_states() {
        assertThat(runSome(TakesOlderStates::new)).isNotEmpty();
    }

    @Test
    void should_catch_a_node_that_skips_gaps() {
        assertThat(runSome(SkipsGaps::new)).isNotEmpty();
    }

    private static List<String> runSome(
            BiFunction<FollowerSettings, FollowerOutbox, FollowedState> states) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 2_000 && violations.isEmpty(); seed++) {
            violations.addAll(run(seed, states));
        }
        return violations;
    }

    private static List<String> run(
            long seed, BiFunction<FollowerSettings, FollowerOutbox, FollowedState> states) {
        Fleet fleet = new Fleet(seed, states);
        for (int step = 0; step < STEPS && fleet.violations().isEmpty(); step++) {
            fleet.step();
        }
        if (fleet.violations().isEmpty()) {
            fleet.heal();
        }
        return fleet.violations();
    }

    /** Takes over any state that a peer or a snapshot offers. */
    private static final class TakesOlderStates extends FollowedState {
        private TakesOlderStates(FollowerSettings settings, FollowerOutbox outbox) {
            super(settings, outbox);
        }

        @Override
        boolean liesAhead(long offset) {
            return true;
        }
    }

    /** Reads on from the first retained record, whatever came before it. */
    private static final class SkipsGaps extends FollowedState {
        private SkipsGaps(FollowerSettings settings, FollowerOutbox outbox) {
            super(settings, outbox);
        }

        @Override
        boolean reaches(long firstRetained) {
            return true;
        }

        @Override
        boolean fold(long offset, RelayedRecord record) {
            while (offset() + 1 < offset) {
                super.fold(offset() + 1, RelayedRecord.newBuilder().setPassedOver(true).build());
            }
            return super.fold(offset, record);
        }
    }
}
