package org.foxtailridge.execution.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests of one kind that crash endpoints one after the other: no two are alike,
 * but all have one part of their prompts in common.
 */
class DeadlyPromptPartTest {
    /** Crashes after which requests with the deadly part have to stop reaching endpoints. */
    private static final int CRASHES = 5;

    /** Time for which a request may still be sent after these crashes, in milliseconds. */
    private static final long CONTACT_MILLISECONDS = 3_000;

    /** Requests that may reach endpoints after that time. */
    private static final int LATE_REQUESTS = 3;

    private static final int NODES = 9;
    private static final int ENDPOINTS = 13;

    @ParameterizedTest
    @MethodSource("seeds")
    void should_stop_requests_with_a_part_that_crashed_five_endpoints(int seed) {
        // GIVEN
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, seed).lossRate(seed % 3 * 0.1);
        fleet.run(Duration.ofSeconds(4));
        fleet.takeBegunShare();

        // WHEN
        fleet.deadlyShare(0.05);
        fleet.run(Duration.ofSeconds(12));

        // THEN
        assertThat(fleet.crashes()).hasSizeGreaterThanOrEqualTo(PromptIncidents.MINIMUM_CRASHES);
        if (fleet.crashes().size() >= CRASHES) {
            long last = fleet.crashes().get(CRASHES - 1) + CONTACT_MILLISECONDS;
            assertThat(fleet.deadlySentAfter(last)).isLessThanOrEqualTo(LATE_REQUESTS);
        }
        fleet.takeBegunShare();
        fleet.run(Duration.ofSeconds(10));
        assertThat(fleet.takeBegunShare()).isGreaterThan(0.9);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_go_on_with_requests_that_share_their_other_parts(int seed) {
        // GIVEN parts that were answered before the deadly one comes with them
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, seed);
        fleet.run(Duration.ofSeconds(20));

        // WHEN
        fleet.deadlyShare(0.05);
        fleet.run(Duration.ofSeconds(20));

        // THEN
        assertThat(fleet.refusedParts()).as("%s crashes", fleet.crashes().size()).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_blame_no_part_when_endpoints_crash_for_another_reason(int seed) {
        // GIVEN
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, seed);
        fleet.run(Duration.ofSeconds(4));

        // WHEN crashes come in series
        for (int time = 0; time < 4; time++) {
            fleet.crash(4);
            fleet.run(Duration.ofMillis(700));
        }
        fleet.run(Duration.ofSeconds(5));

        // THEN
        assertThat(fleet.refusedParts()).as("%s crashes", fleet.crashes().size()).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_tell_nodes_that_start_which_parts_are_held_back(int seed) {
        // GIVEN
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, seed).lossRate(seed % 3 * 0.1);
        fleet.deadlyShare(0.05);
        fleet.run(Duration.ofSeconds(20));

        // WHEN all nodes are restarted one after the other
        long lateSent = 0;
        for (int node = 0; node < NODES; node++) {
            fleet.restartNode(node);
            fleet.run(Duration.ofMillis(CONTACT_MILLISECONDS));
            int sent = fleet.deadlySent();
            fleet.run(Duration.ofSeconds(1));
            lateSent += fleet.deadlySent() - sent;
        }

        // THEN nodes that have run for a while send no more than may be sent late
        assertThat(lateSent).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    @Test
    void should_try_a_part_with_single_requests_once_its_time_has_passed() {
        // GIVEN a part that is held back everywhere
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, 7);
        fleet.deadlyShare(0.05);
        fleet.run(Duration.ofSeconds(20));
        int crashes = fleet.crashes().size();

        // WHEN it comes again and again for ten minutes
        fleet.run(Duration.ofMinutes(10));

        // THEN it is tried after one, three and seven minutes
        assertThat(fleet.crashes().size() - crashes).isBetween(1, 4);
    }

    @Test
    void should_release_a_part_that_is_answered_when_it_is_tried() {
        // GIVEN
        PromptFleet fleet = new PromptFleet(NODES, ENDPOINTS, 7);
        fleet.deadlyShare(0.05);
        fleet.run(Duration.ofSeconds(20));

        // WHEN endpoints survive the part from now on
        fleet.mend();
        fleet.run(Duration.ofSeconds(75));
        long mended = fleet.now();
        fleet.run(Duration.ofSeconds(20));

        // THEN requests with the part come at 3 a second
        assertThat(fleet.deadlySentAfter(mended)).isGreaterThan(30);
    }

    private static IntStream seeds() {
        return IntStream.range(0, 50);
    }
}
