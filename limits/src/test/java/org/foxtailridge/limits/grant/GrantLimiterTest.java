package org.foxtailridge.limits.grant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.Reservation;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.protocol.limits.LimitsMessage;
import org.junit.jupiter.api.Test;

/** Checks what callers of one limiter see; it is the home node unless the test says otherwise. */
class GrantLimiterTest {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final NodeName NODE = NodeName.of("node");
    private static final NodeName OTHER = NodeName.of("other");

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<LimitsMessage> mSent = new ArrayList<>();
    private final List<Admission> mDecisions = new ArrayList<>();
    private final TokenLimiter mLimiter = limiter();

    @Test
    void should_grant_from_the_full_burst_when_no_home_was_before() {
        // GIVEN
        holdHome(OptionalLong.empty());
        // WHEN
        reserve(900);
        // THEN
        assertThat(mDecisions).hasOnlyElementsOfType(Admission.Granted.class).hasSize(1);
    }

    @Test
    void should_refuse_an_account_without_limit() {
        // WHEN
        reserve(1);
        // THEN
        assertThat(mDecisions).containsExactly(new Admission.UnknownAccount());
    }

    @Test
    void should_refuse_what_never_fits() {
        // GIVEN
        holdHome(OptionalLong.empty());
        // WHEN
        reserve(1_001);
        // THEN
        assertThat(mDecisions).hasOnlyElementsOfType(Admission.LargerThanBurst.class);
    }

    @Test
    void should_refuse_at_once_when_the_tokens_come_after_the_longest_wait() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(900);
        // WHEN
        reserve(500);
        // THEN
        Admission.Refused refused = (Admission.Refused) mDecisions.get(1);
        assertThat(refused.retryAfter()).isPositive();
    }

    @Test
    void should_let_a_request_wait_for_tokens_that_come_soon() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(900);
        reserve(99);
        // WHEN
        reserve(15);
        assertThat(mDecisions).hasSize(2);
        run(Duration.ofMillis(400));
        // THEN
        assertThat(mDecisions).hasSize(3).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @Test
    void should_make_unused_tokens_available_again() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(900);
        run(Duration.ofMillis(50));
        // WHEN
        mLimiter.settle(reservation(0), 100);
        run(Duration.ofMillis(1_100));
        reserve(800);
        // THEN
        assertThat(mDecisions).hasSize(2).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @Test
    void should_settle_a_reservation_once() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(400);
        reserve(400);
        // WHEN the first is settled twice
        mLimiter.settle(reservation(0), 0);
        mLimiter.settle(reservation(0), 0);
        run(Duration.ofMillis(1_100));
        // THEN 400 are still used, and about 110 were refilled
        reserve(900);
        assertThat(mDecisions.get(2)).isInstanceOf(Admission.Refused.class);
    }

    @Test
    void should_charge_what_was_used_beyond_the_reservation() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(100);
        // WHEN
        mLimiter.settle(reservation(0), 900);
        run(Duration.ofMillis(500));
        reserve(800);
        // THEN
        run(Duration.ofMillis(500));
        assertThat(mDecisions.get(1)).isInstanceOf(Admission.Refused.class);
    }

    @Test
    void should_bound_open_reservations() {
        // GIVEN
        holdHome(OptionalLong.empty());
        // WHEN
        for (int call = 0; call < 12; call++) {
            reserve(1);
        }
        // THEN
        assertThat(mDecisions.subList(0, 10)).hasOnlyElementsOfType(Admission.Granted.class);
        assertThat(mDecisions.subList(10, 12)).containsOnly(new Admission.Overloaded());
    }

    @Test
    void should_decide_waiting_requests_when_the_limit_is_removed() {
        // GIVEN a home elsewhere that does not answer
        mLimiter.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        mLimiter.homeNodeChanged(ACCOUNT, OTHER, 7);
        reserve(10);
        assertThat(mDecisions).isEmpty();
        // WHEN
        mLimiter.limitRemoved(ACCOUNT);
        // THEN
        assertThat(mDecisions).containsExactly(new Admission.UnknownAccount());
    }

    @Test
    void should_not_refill_an_account_that_is_removed_and_added_again() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(900);
        // WHEN
        mLimiter.limitRemoved(ACCOUNT);
        holdHome(OptionalLong.empty());
        reserve(900);
        // THEN
        assertThat(mDecisions.get(1)).isInstanceOf(Admission.Refused.class);
    }

    @Test
    void should_refuse_after_the_longest_wait_when_the_home_does_not_answer() {
        // GIVEN
        mLimiter.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        mLimiter.homeNodeChanged(ACCOUNT, OTHER, 7);
        // WHEN
        reserve(10);
        run(Duration.ofMillis(450));
        // THEN
        assertThat(mDecisions).hasOnlyElementsOfType(Admission.Refused.class).hasSize(1);
    }

    @Test
    void should_serve_from_its_floor_when_the_home_does_not_answer() {
        // GIVEN a process older than the floor delay
        mLimiter.limitChanged(ACCOUNT, TokenLimit.of(100, 1_000));
        mLimiter.homeNodeChanged(ACCOUNT, OTHER, 7);
        run(Duration.ofSeconds(100));
        // WHEN
        reserve(10);
        run(Duration.ofMillis(450));
        // THEN
        assertThat(mDecisions).hasOnlyElementsOfType(Admission.Granted.class).hasSize(1);
    }

    @Test
    void should_hand_its_state_over_after_a_planned_stop() {
        // GIVEN
        holdHome(OptionalLong.empty());
        reserve(300);
        // WHEN
        mLimiter.stopGranting(ACCOUNT);
        mLimiter.homeNodeChanged(ACCOUNT, OTHER, 8);
        // THEN
        assertThat(mSent).anyMatch(message -> message.getHomeHandover().getLevelTokens() > 500);
    }

    @Test
    void should_grant_nothing_after_its_lease_has_lapsed() {
        // GIVEN
        holdHome(OptionalLong.empty());
        mClock.advance(Duration.ofSeconds(11));
        // WHEN
        reserve(10);
        run(Duration.ofMillis(450));
        // THEN
        assertThat(mDecisions).hasOnlyElementsOfType(Admission.Refused.class).hasSize(1);
    }

    @Test
    void should_check_its_arguments() {
        assertThatThrownBy(() -> reserve(0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("at least 1 but was 0");
        assertThatThrownBy(() -> TokenLimit.of(0, 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("rateTokensPerSecond");
        assertThatThrownBy(() -> LimiterSettings.builder(NODE, 1).floorPercent(91).build())
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("0 to 90 but was 91");
    }

    private TokenLimiter limiter() {
        LimiterSettings settings =
                LimiterSettings.builder(NODE, 1)
                        .maximumNodes(1)
                        .floorPercent(5)
                        .maximumOpenReservations(10)
                        .build();
        return GrantLimiter.create(settings, mClock, (node, message) -> mSent.add(message));
    }

    private void holdHome(OptionalLong former) {
        // A limit of which the home keeps about 1,000 tokens and refills 100 a second.
        mLimiter.limitChanged(ACCOUNT, TokenLimit.of(105, 1_053));
        mLimiter.homeLeaseHeld(new HomeLease(ACCOUNT, 7, mClock.instant().plusSeconds(10), former));
    }

    private void reserve(long tokens) {
        mLimiter.reserve(ACCOUNT, tokens, mDecisions::add);
    }

    private Reservation reservation(int decision) {
        return ((Admission.Granted) mDecisions.get(decision)).reservation();
    }

    private void run(Duration duration) {
        long ticks = duration.toMillis() / TokenLimiter.TICK_MILLISECONDS;
        for (long tick = 0; tick < ticks; tick++) {
            mClock.advance(Duration.ofMillis(TokenLimiter.TICK_MILLISECONDS));
            mLimiter.tick();
        }
    }
}
