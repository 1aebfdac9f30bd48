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

/**
 * Checks the accounting of a home node: guards against batches, handovers and refunds that count
 * twice. Each scenario of a safety rule also runs with the rule broken and must then exceed the
 * limit.
 */
class HomeBucketTest {
    private static final NodeName HOLDER = NodeName.of("holder");
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final LimitSplit SPLIT = new LimitSplit(100_000, 1_000, 0, 0, 0, 100);
    private static final LimiterSettings SETTINGS =
            LimiterSettings.builder(NodeName.of("home"), 1)
                    .grantLifetimeMilliseconds(2_000)
                    .build();

    @Test
    void should_accept_a_repeated_batch_once() {
        assertThat(excessAfterRepeatedBatch(new GrantRules())).isZero();
    }

    @Test
    void should_detect_a_batch_that_is_accepted_twice() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    boolean isNewBatch(long batch, long acceptedBatch) {
                        return true;
                    }
                };
        // THEN
        assertThat(excessAfterRepeatedBatch(broken)).isPositive();
    }

    @Test
    void should_grant_nothing_until_grants_of_the_former_home_node_have_expired() {
        assertThat(excessAfterUnknownGrants(new GrantRules())).isZero();
    }

    @Test
    void should_detect_uncounted_grants_of_the_former_home_node() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    boolean countsFormerGrants() {
                        return false;
                    }
                };
        // THEN
        assertThat(excessAfterUnknownGrants(broken)).isPositive();
    }

    @Test
    void should_accept_returned_tokens_although_level_and_outstanding_fill_the_bucket() {
        // GIVEN a full bucket with 400 tokens outstanding
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
    void should_accept_no_more_returned_tokens_than_were_outstanding_at_the_holder() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        home.answer(HOLDER, request(2).setHeldTokens(100).build(), 0);
        // WHEN 900 tokens are returned, of which only 100 are outstanding
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
        var first = home.holdersToRecall(HOLDER, answer, 0);
        var second = home.holdersToRecall(HOLDER, answer, 1);
        // THEN
        assertThat(first).containsExactly(other);
        assertThat(second).isEmpty();
    }

    @Test
    void should_not_refund_unused_tokens_that_a_full_bucket_could_not_have_held() {
        assertThat(excessAfterRefill(new GrantRules())).isZero();
    }

    @Test
    void should_detect_unused_tokens_refunded_without_bound() {
        // GIVEN
        GrantRules broken =
                new GrantRules() {
                    @Override
                    long refund(TokenBucket bucket, long stamp, long tokens) {
                        return bucket.add(tokens);
                    }
                };
        // THEN
        assertThat(excessAfterRefill(broken)).isPositive();
    }

    @Test
    void should_refund_unused_tokens_once_their_spending_was_reported() {
        // GIVEN a bucket of 1,000 tokens, of which 900 were reported as spent
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
    void should_send_no_report_stamp_once_the_grant_has_expired() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.empty());
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 0);
        // WHEN
        GrantAnswer late = home.answer(HOLDER, request(2).build(), 3_000);
        // THEN
        assertThat(late.getReportStamp()).isZero();
    }

    @Test
    void should_drop_a_duplicated_request() {
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
    void should_apply_a_handover_once() {
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
        home.applyHandover(handover, 10);
        home.applyHandover(handover, 11);
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(1).setMinimumTokens(500).setWantedTokens(1_000).build(),
                        11);
        // THEN
        assertThat(answer.getGrantedTokens()).isEqualTo(500);
    }

    @Test
    void should_ignore_a_handover_that_arrives_after_grants_were_made() {
        // GIVEN
        HomeBucket home = home(new GrantRules(), OptionalLong.of(6));
        home.expire(2_100);
        home.answer(HOLDER, request(1).setMinimumTokens(900).setWantedTokens(900).build(), 14_000);
        // WHEN
        home.applyHandover(
                HomeHandover.newBuilder().setFencing(6).setLevelTokens(1_000).build(), 14_000);
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(2).setMinimumTokens(200).setWantedTokens(200).build(),
                        14_000);
        // THEN
        assertThat(answer.getGrantedTokens()).isZero();
    }

    /** Uses 700 tokens, reports 300 unused ones twice, and returns the excess over the capacity. */
    private static long excessAfterRepeatedBatch(GrantRules rules) {
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
        return Math.max(0, 700 + last.getGrantedTokens() - SPLIT.homeCapacityTokens());
    }

    /**
     * Returns the tokens granted while grants of the former home node may still use the capacity.
     */
    private static long excessAfterUnknownGrants(GrantRules rules) {
        HomeBucket home = home(rules, OptionalLong.of(6));
        GrantAnswer answer =
                home.answer(
                        HOLDER,
                        request(1).setMinimumTokens(1).setWantedTokens(1_000).build(),
                        SETTINGS.grantLifetimeMilliseconds());
        return answer.getGrantedTokens();
    }

    /** Refunds old tokens after a full bucket was used; returns the excess over the capacity. */
    private static long excessAfterRefill(GrantRules rules) {
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
        return Math.max(0, used - SPLIT.homeCapacityTokens());
    }

    private static HomeBucket home(GrantRules rules, OptionalLong former) {
        HomeLease lease = new HomeLease(ACCOUNT, 7, Instant.ofEpochMilli(60_000), former);
        return new HomeBucket(SETTINGS, rules, SPLIT, lease, 0);
    }

    private static GrantRequest.Builder request(long number) {
        return GrantRequest.newBuilder()
                .setAccount("account")
                .setFencing(7)
                .setIncarnation(1)
                .setNumber(number);
    }
}
