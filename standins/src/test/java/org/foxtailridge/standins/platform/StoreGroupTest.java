package org.foxtailridge.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreGroupTest {
    private static final Duration LIFETIME = Duration.ofSeconds(2);
    private static final List<StorePlace> PLACES =
            IntStream.range(0, 12).mapToObj(part -> new StorePlace("duties", part)).toList();

    private final StoreGroup mGroup = new StoreGroup();
    private Instant mNow = Instant.EPOCH;

    @Test
    void should_hand_a_partition_over_only_once_its_member_knows_of_the_change() {
        // GIVEN
        join("a", 0);
        assertThat(mGroup.partsOf("a")).hasSize(12);
        // WHEN
        join("b", 0);
        List<StorePlace> before = mGroup.partsOf("b");
        join("a", mGroup.generation());
        join("b", mGroup.generation());
        // THEN
        assertThat(before).isEmpty();
        assertThat(mGroup.partsOf("b")).hasSize(6);
        assertThat(mGroup.partsOf("a")).hasSize(6);
    }

    @Test
    void should_give_partitions_of_a_silent_member_away_after_its_lifetime() {
        // GIVEN
        join("a", 0);
        join("b", 0);
        // WHEN
        mNow = mNow.plus(LIFETIME).plusMillis(1);
        join("b", mGroup.generation());
        // THEN
        assertThat(mGroup.partsOf("a")).isEmpty();
        assertThat(mGroup.partsOf("b")).hasSize(12);
    }

    @Test
    void should_refuse_a_commit_of_a_member_that_does_not_hold_the_partition() {
        // GIVEN
        join("a", 0);
        long generation = mGroup.generation();
        // WHEN
        boolean own = mGroup.commit("a", generation, PLACES.get(0), 840);
        boolean other = mGroup.commit("b", generation, PLACES.get(0), 900);
        boolean early = mGroup.commit("a", generation - 1, PLACES.get(0), 900);
        // THEN
        assertThat(own).isTrue();
        assertThat(other).isFalse();
        assertThat(early).isFalse();
        assertThat(mGroup.committed(PLACES.get(0))).isEqualTo(840);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_never_list_a_partition_for_two_members_that_have_not_been_told(long seed) {
        // GIVEN
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Set<StorePlace>> used = new HashMap<>();
        Map<String, Long> generations = new HashMap<>();
        Map<String, Instant> joinedAt = new HashMap<>();
        for (int step = 0; step < 2_000; step++) {
            // WHEN
            mNow = mNow.plusMillis(random.nextInt(300));
            String member = "m" + random.nextInt(5);
            if (random.nextInt(20) == 0) {
                mGroup.leave(member);
                used.remove(member);
                generations.remove(member);
            } else if (random.nextInt(50) == 0) {
                mGroup.dealAnew();
            } else {
                join(member, generations.getOrDefault(member, 0L));
                generations.put(member, mGroup.generation());
                used.put(member, new HashSet<>(mGroup.partsOf(member)));
                joinedAt.put(member, mNow);
            }
            // THEN
            used.keySet().removeIf(name -> joinedAt.get(name).plus(LIFETIME).isBefore(mNow));
            Set<StorePlace> seen = new HashSet<>();
            used.values().forEach(places -> places.forEach(p -> assertThat(seen.add(p)).isTrue()));
        }
    }

    private void join(String member, long generation) {
        mGroup.join(member, PLACES, LIFETIME, generation, mNow);
    }
}
