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
 * Guards against two nodes that act on a duty at the same time, a fencing number that two processes
 * use, a fencing number that decreases, and a duty without a holder after the faults have ended.
 * They come about when records are late or lost, clocks drift or step, and nodes pause or restart;
 * the tests run random interleavings of such faults.
 */
class LeaseInterleavingTest {
    private static final int STEPS = 150;
    private static final LeaseSettings SETTINGS = LeaseSettings.defaults();

    @Property(tries = 10_000, seed = "4105")
    void should_let_one_node_at_a_time_act_on_a_duty(@ForAll long seed) {
        assertThat(run(seed, LeaseInterleavingTest::correct)).isEmpty();
    }

    @Test
    void should_reject_a_late_acquisition_after_a_step_of_the_clock_of_the_log() {
        assertThat(run(-67_415, LeaseInterleavingTest::correct)).isEmpty();
    }

    @Test
    void should_detect_a_fold_that_ignores_unexpired_leases() {
        assertThat(runUntilViolation(LeaseInterleavingTest::ignoringUnexpiredLeases)).isNotEmpty();
    }

    @Test
    void should_detect_validity_that_counts_from_reading() {
        assertThat(runUntilViolation(LeaseInterleavingTest::countingFromReading)).isNotEmpty();
    }

    private static List<String> runUntilViolation(LeaseSimulation.LeaseFactory factory) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 2_000 && violations.isEmpty(); seed++) {
            violations.addAll(run(seed, factory));
        }
        return violations;
    }

    private static List<String> run(long seed, LeaseSimulation.LeaseFactory factory) {
        LeaseSimulation run = new LeaseSimulation(seed, factory);
        for (int step = 0; step < STEPS && run.violations().isEmpty(); step++) {
            run.step();
        }
        if (run.violations().isEmpty()) {
            run.heal();
        }
        return run.violations();
    }

    private static LeaseManager correct(
            NodeName self, long incarnation, Clock clock, LeaseOutbox outbox) {
        return LeaseManager.create(self, incarnation, SETTINGS, clock, outbox);
    }

    private static LeaseManager ignoringUnexpiredLeases(
            NodeName self, long incarnation, Clock clock, LeaseOutbox outbox) {
        LeaseFold fold =
                new LeaseFold(SETTINGS) {
                    @Override
                    boolean hasExpired(Lease lease, long timeMs) {
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
