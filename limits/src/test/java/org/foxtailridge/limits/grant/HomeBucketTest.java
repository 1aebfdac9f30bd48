package org.foxtailridge.limits.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.OptionalLong;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.bucket.TokenBucket;
import org.foxtailridge.protocol.limits.GrantAnswer;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.HomeHandover;
import org.foxtailridge.protocol.limits.UnusedTokens;
import org.junit.jupiter.api.Test;

/** Checks what a home node counts, and that each check fails when the rule is broken. */
class HomeBucketTest {
    private static final NodeName HOLDER = NodeName.of("holder");
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final LimitParts PARTS = new LimitParts(100_000, 1_000, 0, 0, 0, 100);
    private static final LimiterSettings SETTINGS =
            LimiterSettings.builder(NodeName.of("home"), 1)
                    .grantLifetimeMilliseconds(2_000)
                    .build();

    @Test
    void should_take_a_repeated_batch_once() {
        assertThat(overAfterRepeatedBatch(new GrantRules())).isZero();
    }

    @Test
    void should_see_a_batch_that_is_taken_twice() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    boolean isNewBatch(long batch, long takenBatch) {
                        return true;
                    }
                };
        // THEN
        assertThat(overAfterRepeatedBatch(broken)).isPositive();
    }

    @Test
    void should_grant_nothing_while_former_grants_may_be_spent() {
        assertThat(overAfterUnknownFormer(new GrantRules())).isZero();
    }

    @Test
    void should_see_forgotten_former_grants() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    boolean countsFormerGrants() {
                        return false;
                    }
                };
        // THEN
        assertThat(overAfterUnknownFormer(broken)).isPositive();
    }

    @Test
    void should_take_back_unspent_tokens_although_the_bucket_is_full() {
        // GIVEN a full bucket of which 400 tokens are held elsewhere
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(400).setWantedTokens(400).build(), 0);
        // WHEN
        home.answer(HOLDER, request(2).setBatch(1).setReturnedTokens(400).build(), 0);
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(3).setMinimumTokens(1_000).setWantedTokens(1_000).build(),
                        0);
        // THEN
        assertThat(answer.getGrantedTokens()).isEqualTo(1_000);
    }

    @Test
    void should_take_back_no_more_than_it_counted_for_the_holder() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        home.answer(HOLDER, request(2).setHeldTokens(100).build(), 0);
        // WHEN only 100 are left at the holder
        home.answer(HOLDER, request(3).setBatch(1).setReturnedTokens(900).build(), 0);
        GrantAnswer answer =
                home.answer(
                        HOLDER, request(4).setMinimumTokens(201).setWantedTokens(201).build(), 0);
        // THEN
        assertThat(answer.getGrantedTokens()).isZero();
    }

    @Test
    void should_recall_tokens_from_other_holders_when_it_has_too_few() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        NodeName other = NodeName.of("other");
        home.answer(other, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        GrantRequest request = request(1).setMinimumTokens(500).setWantedTokens(500).build();
        GrantAnswer answer = home.answer(HOLDER, request, 0);
        // WHEN
        var first = home.recall(HOLDER, answer, 0);
        var second = home.recall(HOLDER, answer, 1);
        // THEN
        assertThat(first).containsExactly(other);
        assertThat(second).isEmpty();
    }

    @Test
    void should_not_take_unused_tokens_that_a_full_bucket_could_not_have_held() {
        assertThat(overAfterFullBetween(new GrantRules())).isZero();
    }

    @Test
    void should_see_unused_tokens_taken_without_bound() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    long giveBack(TokenBucket bucket, long stamp, long tokens) {
                        return bucket.add(tokens);
                    }
                };
        // THEN
        assertThat(overAfterFullBetween(broken)).isPositive();
    }

    @Test
    void should_take_unused_tokens_of_a_full_bucket_once_it_has_heard_of_their_spending() {
        // GIVEN 900 of 1,000 tokens that were reported as spent
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        GrantAnswer reported = home.answer(HOLDER, request(2).build(), 0);
        UnusedTokens unused =
                UnusedTokens.newBuilder()
                        .setStamp(reported.getReportStamp())
                        .setTokens(800)
                        .build();
        // WHEN
        home.answer(HOLDER, request(3).setBatch(1).addUnused(unused).build(), 0);
        GrantAnswer all =
                home.answer(
                        HOLDER, request(4).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        GrantAnswer more =
                home.answer(HOLDER, request(5).setMinimumTokens(1).setWantedTokens(1).build(), 0);
        // THEN
        assertThat(all.getGrantedTokens()).isEqualTo(900);
        assertThat(more.getGrantedTokens()).isZero();
    }

    @Test
    void should_give_no_report_stamp_once_the_tokens_have_lapsed() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        // WHEN
        GrantAnswer late = home.answer(HOLDER, request(2).build(), 3_000);
        // THEN
        assertThat(late.getReportStamp()).isZero();
    }

    @Test
    void should_drop_a_doubled_request() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        GrantRequest request = request(1).setMinimumTokens(10).setWantedTokens(10).build();
        home.answer(HOLDER, request, 0);
        // WHEN
        GrantAnswer second = home.answer(HOLDER, request, 1);
        // THEN
        assertThat(second).isNull();
    }

    @Test
    void should_take_over_the_level_of_the_former_home_once() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.of(6));
        HomeHandover handover =
                HomeHandover.newBuilder()
                        .setAccount("account")
                        .setFencing(6)
                        .setLevelTokens(500)
                        .setOutstandingTokens(300)
                        .build();
        // WHEN
        home.takeOver(handover, 10);
        home.takeOver(handover, 11);
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(1).setMinimumTokens(500).setWantedTokens(1_000).build(),
                        11);
        // THEN
        assertThat(answer.getGrantedTokens()).isEqualTo(500);
    }

    @Test
    void should_ignore_a_handover_that_comes_after_grants_were_made() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.of(6));
        home.expire(2_100);
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 14_000);
        // WHEN
        home.takeOver(
                HomeHandover.newBuilder().setFencing(6).setLevelTokens(1_000).build(), 14_000);
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(2).setMinimumTokens(200).setWantedTokens(200).build(),
                        14_000);
        // THEN
        assertThat(answer.getGrantedTokens()).isZero();
    }

    /** Uses 700 tokens, reports 300 unused ones twice, and returns what exceeds the capacity. */
    private static long overAfterRepeatedBatch(GrantRules rules) {
        HomeBucket home = home(rules, OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(700).setWantedTokens(700).build(), 0);
        GrantAnswer second =
                home.answer(
                        HOLDER, request(2).setMinimumTokens(300).setWantedTokens(300).build(), 0);
        UnusedTokens unused =
                UnusedTokens.newBuilder().setStamp(second.getStamp()).setTokens(300).build();
        home.answer(HOLDER, request(3).setBatch(1).addUnused(unused).build(), 0);
        home.answer(HOLDER, request(4).setBatch(1).addUnused(unused).build(), 0);
        GrantAnswer last =
                home.answer(
                        HOLDER, request(5).setMinimumTokens(301).setWantedTokens(1_000).build(), 0);
        return Math.max(0, 700 + last.getGrantedTokens() - PARTS.homeCapacityTokens());
    }

    /** Assumes that all tokens are still held under the former home; returns what exceeds them. */
    private static long overAfterUnknownFormer(GrantRules rules) {
        HomeBucket home = home(rules, OptionalLong.of(6));
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(1).setMinimumTokens(1).setWantedTokens(1_000).build(),
                        SETTINGS.grantMilliseconds());
        return answer.getGrantedTokens();
    }

    /** Uses the full bucket at one instant with older unused tokens; returns what exceeds it. */
    private static long overAfterFullBetween(GrantRules rules) {
        HomeBucket home = home(rules, OptionalLong.empty());
        GrantRequest.Builder all = request(1).setMinimumTokens(1_000).setWantedTokens(1_000);
        GrantAnswer first = home.answer(HOLDER, all.build(), 0);
        home.answer(HOLDER, request(2).build(), 0);
        GrantAnswer second = home.answer(HOLDER, all.setNumber(3).build(), 10_000);
        UnusedTokens unused =
                UnusedTokens.newBuilder().setStamp(first.getStamp()).setTokens(1_000).build();
        home.answer(HOLDER, request(4).setBatch(1).addUnused(unused).build(), 10_000);
        GrantAnswer third =
                home.answer(
                        HOLDER,
                        request(5).setMinimumTokens(1).setWantedTokens(1_000).build(),
                        10_000);
        long used = second.getGrantedTokens() + third.getGrantedTokens();
        return Math.max(0, used - PARTS.homeCapacityTokens());
    }

    private static HomeBucket home(GrantRules rules, OptionalLong former) {
        HomeLease lease = new HomeLease(ACCOUNT, 7, Instant.ofEpochMilli(60_000), former);
        return new HomeBucket(SETTINGS, rules, PARTS, lease, 0);
    }

    private static GrantRequest.Builder request(long number) {
        return GrantRequest.newBuilder()
                .setAccount("account")
                .setFencing(7)
                .setIncarnation(1)
                .setNumber(number);
    }
}
