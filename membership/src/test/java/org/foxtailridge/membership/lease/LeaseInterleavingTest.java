package org.foxtailridge.membership.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.core.name.NodeName;
import org.junit.jupiter.api.Test;

/**
 * Checks, over random interleavings of faults, that no two nodes act on a duty at the same time,
 * that a fencing number belongs to one process, that fencing numbers only grow, and that every duty
 * has a holder after the faults.
 */
class LeaseInterleavingTest {
    private static final int STEPS = 150;
    private static final LeaseSettings SETTINGS = LeaseSettings.defaults();

    @Property(tries = 10_000, seed = "4105")
    void should_let_one_node_at_a_time_act_on_a_duty(@ForAll long seed) {
        assertThat(run(seed, LeaseInterleavingTest::sound)).isEmpty();
    }

    @Test
    void should_not_count_a_late_acquisition_after_a_step_of_the_clock_of_the_log() {
        assertThat(run(-67_415, LeaseInterleavingTest::sound)).isEmpty();
    }

    @Test
    void should_catch_a_fold_that_ignores_running_leases() {
        assertThat(runSome(LeaseInterleavingTest::ignoringRunningLeases)).isNotEmpty();
    }

    @Test
    void should_catch_validity_that_counts_from_reading() {
        assertThat(runSome(LeaseInterleavingTest::countingFromReading)).isNotEmpty();
    }

    private static List<String> runSome(LeaseRun.LeaseFactory factory) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 2_000 && violations.isEmpty(); seed++) {
            violations.addAll(run(seed, factory));
        }
        return violations;
    }

    private static List<String> run(long seed, LeaseRun.LeaseFactory factory) {
        LeaseRun run = new LeaseRun(seed, factory);
        for (int step = 0; step < STEPS && run.violations().isEmpty(); step++) {
            run.step();
        }
        if (run.violations().isEmpty()) {
            run.heal();
        }
        return run.violations();
    }

    private static LeaseManager sound(
            NodeName self, long incarnation, Clock clock, LeaseOutbox outbox) {
        return LeaseManager.create(self, incarnation, SETTINGS, clock, outbox);
    }

    private static LeaseManager ignoringRunningLeases(
            NodeName self, long incarnation, Clock clock, LeaseOutbox outbox) {
        LeaseFold fold =
                new LeaseFold(SETTINGS) {
                    @Override
                    boolean hasLapsed(Lease lease, long timeMs) {
                        return true;
                    }
                };
        return new LeaseManager(self, incarnation, SETTINGS, clock, outbox, fold);
    }

    private static LeaseManager countingFromReading(
            NodeName self, long incarnation, Clock clock, LeaseOutbox outbox) {
        return new LeaseManager(
                self, incarnation, SETTINGS, clock, outbox, new LeaseFold(SETTINGS)) {
            @Override
            Instant validityStart(Instant sentAt, Instant readAt) {
                return readAt;
            }
        };
    }
}
