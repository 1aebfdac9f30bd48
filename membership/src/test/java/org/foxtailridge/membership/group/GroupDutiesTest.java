package org.foxtailridge.membership.group;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against two members that act on a duty at the same time, and against duties without a
 * holder. They come about when joins or their answers are lost, a member pauses, or the group
 * reassigns partitions.
 */
class GroupDutiesTest {
    private static final GroupSettings SETTINGS =
            new GroupSettings(
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(600),
                    Duration.ofMillis(150),
                    Duration.ofMillis(500),
                    Duration.ofMillis(1_000));
    private static final int PARTITIONS = 4;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final FakeGroup mGroup = new FakeGroup(PARTITIONS, SETTINGS.lifetime(), mClock);
    private final Map<String, Member> mMembers = new HashMap<>();

    @Test
    void should_acquire_every_duty_after_the_acquisition_delay() {
        // GIVEN
        Member only = member("a");

        // WHEN
        run(1_500);

        // THEN
        assertThat(only.mDuties.heldDuties()).hasSize(PARTITIONS);
    }

    @Test
    void should_acquire_nothing_before_the_acquisition_delay_has_passed() {
        // GIVEN
        Member only = member("a");

        // WHEN
        run(400);

        // THEN
        assertThat(only.mDuties.heldDuties()).isEmpty();
    }

    @Test
    void should_stop_acting_before_the_group_reassigns_its_duties() {
        // GIVEN
        Member cut = member("a");
        run(1_500);

        // WHEN
        cut.mReachable = false;
        run(2_000);

        // THEN
        assertThat(cut.mDuties.held(0)).isEmpty();
        assertThat(cut.mEvents).contains("expired 0");
    }

    @Test
    void should_keep_its_fencing_number_if_no_other_member_held_the_duty_meanwhile() {
        // GIVEN
        Member cut = member("a");
        run(1_500);
        long fencing = cut.mDuties.held(0).orElseThrow().fencing();

        // WHEN answers are lost while joins still arrive
        cut.mAnswersLost = true;
        run(2_200);
        cut.mAnswersLost = false;
        run(1_500);

        // THEN
        assertThat(cut.mDuties.held(0).orElseThrow().fencing()).isEqualTo(fencing);
    }

    @Test
    void should_hand_over_all_duties_when_it_leaves() {
        // GIVEN
        Member leaving = member("a");
        Member staying = member("b");
        run(3_000);

        // WHEN
        leaving.mDuties.leave();
        run(1_500);

        // THEN
        assertThat(leaving.mDuties.heldDuties()).isEmpty();
        assertThat(staying.mDuties.heldDuties()).hasSize(PARTITIONS);
    }

    @Test
    void should_give_a_later_holder_a_higher_fencing_number() {
        // GIVEN
        Member first = member("a");
        run(1_500);
        long before = first.mDuties.held(0).orElseThrow().fencing();
        Member second = member("b");

        // WHEN
        first.mReachable = false;
        run(5_000);

        // THEN
        assertThat(second.mDuties.held(0).orElseThrow().fencing()).isGreaterThan(before);
    }

    @Test
    void should_acquire_nothing_while_it_is_not_a_candidate() {
        // GIVEN
        Member candidate = member("a");
        Member other = member("b");
        other.mDuties.setCandidate(false);

        // WHEN
        run(3_000);

        // THEN
        assertThat(other.mDuties.heldDuties()).isEmpty();
        assertThat(candidate.mDuties.heldDuties()).hasSize(PARTITIONS);
    }

    @Test
    void should_keep_its_duties_when_it_is_no_longer_a_candidate() {
        // GIVEN
        Member former = member("a");
        run(1_500);

        // WHEN
        former.mDuties.setCandidate(false);
        run(10_000);

        // THEN
        assertThat(former.mDuties.heldDuties()).hasSize(PARTITIONS);
    }

    @Test
    void should_acquire_duties_again_when_it_becomes_a_candidate_again() {
        // GIVEN
        Member member = member("a");
        member.mDuties.setCandidate(false);
        run(3_000);

        // WHEN
        member.mDuties.setCandidate(true);
        run(1_500);

        // THEN
        assertThat(member.mDuties.heldDuties()).hasSize(PARTITIONS);
    }

    @Test
    void should_reject_times_that_let_the_membership_expire_between_two_joins() {
        assertThatThrownBy(
                        () ->
                                new GroupSettings(
                                        Duration.ofSeconds(1),
                                        Duration.ofSeconds(1),
                                        Duration.ZERO,
                                        Duration.ZERO,
                                        Duration.ofSeconds(1)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("below lifetime");
    }

    @Property(tries = 3_000, seed = "9107")
    void should_let_one_member_at_a_time_act_on_a_duty(@ForAll long seed) {
        Random random = new Random(seed);
        ManualClock clock = ManualClock.atEpoch();
        FakeGroup group = new FakeGroup(PARTITIONS, SETTINGS.lifetime(), clock);
        List<Member> members = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            members.add(new Member(name, group, clock));
        }
        for (int step = 0; step < 200; step++) {
            disturb(random, members, group);
            clock.advance(Duration.ofMillis(20 + random.nextInt(150)));
            for (Member member : members) {
                if (!member.mPaused) {
                    member.mDuties.tick();
                }
            }
            assertThatAtMostOneActs(members);
        }
    }

    private static void disturb(Random random, List<Member> members, FakeGroup group) {
        Member member = members.get(random.nextInt(members.size()));
        switch (random.nextInt(25)) {
            case 0 -> member.mReachable = !member.mReachable;
            case 1 -> member.mAnswersLost = !member.mAnswersLost;
            case 2 -> member.mPaused = !member.mPaused;
            case 3 -> group.reassign();
            case 4 -> member.mDuties.setCandidate(random.nextBoolean());
            default -> {}
        }
    }

    private static void assertThatAtMostOneActs(List<Member> members) {
        for (int partition = 0; partition < PARTITIONS; partition++) {
            int acting = 0;
            for (Member member : members) {
                acting += member.mDuties.held(partition).isPresent() ? 1 : 0;
            }
            assertThat(acting).as("members that act on %s", partition).isLessThanOrEqualTo(1);
        }
    }

    private Member member(String name) {
        Member member = new Member(name, mGroup, mClock);
        mMembers.put(name, member);
        return member;
    }

    private void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 50) {
            mClock.advance(Duration.ofMillis(50));
            mMembers.values().forEach(member -> member.mDuties.tick());
        }
    }

    private static final class Member implements GroupOutbox {
        private final String mName;
        private final FakeGroup mGroup;
        private final GroupDuties mDuties;
        private final List<String> mEvents = new ArrayList<>();
        private boolean mReachable = true;
        private boolean mAnswersLost;
        private boolean mPaused;

        private Member(String name, FakeGroup group, java.time.Clock clock) {
            mName = name;
            mGroup = group;
            mDuties = new GroupDuties(SETTINGS, clock, this);
        }

        @Override
        public void join(long join, long generation) {
            if (!mReachable) {
                return;
            }
            GroupAssignment answer = mGroup.join(mName, generation);
            if (!mAnswersLost) {
                mDuties.onJoined(join, answer);
            }
        }

        @Override
        public void leaveGroup() {
            mGroup.leave(mName);
        }

        @Override
        public void acquired(HeldDuty duty) {
            mEvents.add("acquired " + duty.partition());
        }

        @Override
        public void renewed(HeldDuty duty) {
            mEvents.add("renewed " + duty.partition());
        }

        @Override
        public void released(HeldDuty duty) {
            mEvents.add("released " + duty.partition());
        }

        @Override
        public void expired(HeldDuty duty) {
            mEvents.add("expired " + duty.partition());
        }
    }
}
