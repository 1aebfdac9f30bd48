package org.foxtailridge.membership.probe;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against failures that are detected late or not at all, live nodes that are marked as dead,
 * and more network traffic than the target for each node allows.
 */
class MembershipTest {
    private static final NodeName FIRST = ProbeFleet.name(0, 0);
    private static final NodeName SECOND = ProbeFleet.name(0, 1);
    private static final int BYTES_PER_SECOND_TARGET = 2_000;
    private static final int HEADERS_BYTES = 66 + 6;

    @ParameterizedTest
    @CsvSource({"1, 9, 20", "3, 3, 30", "1, 122, 30"})
    void should_detect_a_failed_node_and_its_replacement(int dataCentres, int nodes, int seconds) {
        // GIVEN
        ProbeFleet fleet = new ProbeFleet(1).start(dataCentres, nodes);
        fleet.run(Duration.ofSeconds(5));
        // WHEN
        fleet.kill(FIRST);
        // THEN
        Duration limit = Duration.ofSeconds(seconds);
        Duration detectionTime = fleet.runUntil(() -> fleet.allSee(FIRST, this::isDead), limit);
        assertThat(detectionTime).isLessThan(limit);
        // WHEN
        fleet.restart(FIRST);
        long incarnation = fleet.incarnationOf(FIRST);
        Duration rejoinTime =
                fleet.runUntil(
                        () ->
                                fleet.allSee(
                                        FIRST,
                                        member ->
                                                member.incarnation() == incarnation
                                                        && member.isDutyCandidate()),
                        limit);
        // THEN
        assertThat(rejoinTime).isLessThan(limit);
    }

    @Test
    void should_not_mark_a_node_as_dead_that_one_other_cannot_reach() {
        // GIVEN
        ProbeFleet fleet = new ProbeFleet(2).start(1, 6);
        fleet.run(Duration.ofSeconds(5));
        // WHEN
        fleet.cut(FIRST, SECOND);
        // THEN
        for (int second = 0; second < 60; second++) {
            fleet.run(Duration.ofSeconds(1));
            assertThat(fleet.allSee(SECOND, member -> member.state() == MemberState.ALIVE))
                    .isTrue();
        }
    }

    @Test
    void should_mark_a_node_as_dead_that_only_sends_and_accept_it_again_later() {
        // GIVEN
        ProbeFleet fleet = new ProbeFleet(3).start(1, 6);
        fleet.run(Duration.ofSeconds(5));
        // WHEN
        fleet.running().forEach(other -> fleet.cut(other, FIRST));
        fleet.run(Duration.ofSeconds(30));
        // THEN
        assertThat(fleet.node(SECOND).view().dutyNodes()).doesNotContain(FIRST);
        // WHEN
        fleet.heal();
        fleet.run(Duration.ofSeconds(30));
        // THEN
        assertThat(fleet.allSee(FIRST, member -> member.state() == MemberState.ALIVE)).isTrue();
    }

    @Test
    void should_give_a_leaving_node_no_duties_within_seconds() {
        // GIVEN
        ProbeFleet fleet = new ProbeFleet(4).start(3, 3);
        fleet.run(Duration.ofSeconds(20));
        // WHEN
        fleet.node(FIRST).leave();
        // THEN
        Duration limit = Duration.ofSeconds(15);
        Duration propagationTime =
                fleet.runUntil(
                        () -> fleet.allSee(FIRST, member -> !member.isDutyCandidate()), limit);
        assertThat(propagationTime).isLessThan(limit);
        // WHEN it keeps answering for 60 s
        fleet.run(Duration.ofSeconds(60));
        // THEN
        assertThat(fleet.allSee(FIRST, member -> member.state() == MemberState.LEAVING)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"3, 3", "9, 122"})
    void should_stay_within_the_target_of_bytes_per_second_of_a_node(int dataCentres, int nodes) {
        // GIVEN
        ProbeFleet fleet = new ProbeFleet(5).start(dataCentres, nodes);
        fleet.run(Duration.ofSeconds(20));
        fleet.getAndResetBytes();
        fleet.getAndResetMessages();
        // WHEN
        int seconds = 20;
        fleet.kill(FIRST);
        fleet.run(Duration.ofSeconds(seconds));
        // THEN
        long sent = fleet.getAndResetBytes() + HEADERS_BYTES * fleet.getAndResetMessages();
        double perNode = (double) sent / seconds / (dataCentres * nodes);
        assertThat(perNode).isLessThan(BYTES_PER_SECOND_TARGET);
    }

    @Property(tries = 10_000, seed = "4106")
    void should_agree_on_the_state_of_all_nodes_after_the_faults_end(@ForAll long seed) {
        // GIVEN
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ProbeFleet fleet = new ProbeFleet(seed).start(1, 4);
        // WHEN
        for (int step = 0; step < 12; step++) {
            injectFault(fleet, random);
            fleet.run(Duration.ofMillis(100 + random.nextInt(3_000)));
        }
        fleet.heal();
        fleet.run(Duration.ofSeconds(25));
        // THEN
        for (int number = 0; number < 4; number++) {
            NodeName name = ProbeFleet.name(0, number);
            boolean runs = fleet.running().contains(name);
            long incarnation = fleet.incarnationOf(name);
            assertThat(
                            fleet.allSee(
                                    name,
                                    member -> runs ? isAlive(member, incarnation) : isDead(member)))
                    .as("%s", fleet.running())
                    .isTrue();
        }
    }

    private static void injectFault(ProbeFleet fleet, UniformRandomProvider random) {
        NodeName node = ProbeFleet.name(0, random.nextInt(4));
        NodeName other = ProbeFleet.name(0, random.nextInt(4));
        switch (random.nextInt(5)) {
            case 0 -> fleet.cut(node, other);
            case 1 -> fleet.lose(random.nextDouble() / 2);
            case 2 -> fleet.heal();
            case 3 -> fleet.restart(node);
            default -> killUnlessLast(fleet, node);
        }
    }

    private static void killUnlessLast(ProbeFleet fleet, NodeName node) {
        if (fleet.running().size() > 1) {
            fleet.kill(node);
        }
    }

    private boolean isDead(Member member) {
        return member.state() == MemberState.DEAD;
    }

    private static boolean isAlive(Member member, long incarnation) {
        return member.state() == MemberState.ALIVE && member.incarnation() == incarnation;
    }
}
