package org.foxtailridge.limits.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.limits.Admission;
import org.foxtailridge.limits.HomeLease;
import org.foxtailridge.limits.LimitTolerance;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.TokenLimiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests at a node that has just started beside others, before and after it knows the home. */
class WaitForTokensTest {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final int NODES = 7;
    // Tokens a second and at once; a seventh is 10,000.
    private static final long RATE = 70_000;
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final ManualClock mClock = ManualClock.atEpoch();
    private final List<Admission> mDecisions = new ArrayList<>();
    private final TokenLimiter mLimiter = limiter();

    @Test
    void should_serve_steady_demand_below_the_share_of_a_node_without_a_home() {
        // WHEN
        // 5,000 tokens a second: half of an equal share.
        for (int request = 0; request < 20; request++) {
            reserve(1_250);
            run(Duration.ofMillis(250));
        }
        run(LONGEST_WAIT);
        // THEN
        assertThat(mDecisions).hasSize(20).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @Test
    void should_serve_what_came_before_the_home_was_known_once_it_is() {
        // GIVEN
        drainFloor();
        reserve(2_500);
        reserve(2_500);
        assertThat(mDecisions).isEmpty();
        // WHEN
        run(Duration.ofMillis(200));
        holdHome();
        run(Duration.ofMillis(700));
        // THEN
        assertThat(mDecisions).hasSize(2).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @Test
    void should_refuse_at_once_what_could_not_have_its_tokens_in_time() {
        // GIVEN
        drainFloor();
        reserve(4_500);
        reserve(4_500);
        // WHEN
        reserve(4_500);
        // THEN
        assertThat(mDecisions).hasSize(1);
        Admission.Refused refused = (Admission.Refused) mDecisions.get(0);
        assertThat(refused.retryAfter()).isEqualTo(LONGEST_WAIT);
    }

    @Test
    void should_let_a_small_call_pass_a_stream_that_waits_for_many_tokens() {
        // GIVEN
        drainFloor();
        reserve(3_000);
        // WHEN
        mLimiter.reserve(ACCOUNT, 200, Duration.ofMillis(200), mDecisions::add);
        run(Duration.ofMillis(100));
        // THEN
        assertThat(mDecisions).hasSize(1).hasOnlyElementsOfType(Admission.Granted.class);
        run(LONGEST_WAIT);
        assertThat(mDecisions).hasSize(2).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @Test
    void should_ask_the_home_for_more_than_an_equal_share_brings_in_time() {
        // GIVEN
        drainFloor();
        mLimiter.homeLeaseHeld(
                new HomeLease(ACCOUNT, 7, mClock.instant().plusSeconds(10), OptionalLong.empty()));
        // WHEN
        reserve(15_000);
        // THEN
        assertThat(mDecisions).hasSize(1).hasOnlyElementsOfType(Admission.Granted.class);
    }

    @ParameterizedTest(name = "patience of {0} ms")
    @ValueSource(longs = {0, 100})
    void should_not_let_a_request_wait_longer_than_its_caller(long milliseconds) {
        // GIVEN
        drainFloor();
        // WHEN
        mLimiter.reserve(ACCOUNT, 2_500, Duration.ofMillis(milliseconds), mDecisions::add);
        // THEN
        assertThat(mDecisions).hasSize(1).hasOnlyElementsOfType(Admission.Refused.class);
    }

    @Test
    void should_refuse_what_has_waited_for_the_longest_wait() {
        // GIVEN
        drainFloor();
        reserve(6_500);
        // WHEN
        // The floor alone refills 6,000 a second.
        run(LONGEST_WAIT);
        run(Duration.ofMillis(TokenLimiter.TICK_MILLISECONDS));
        // THEN
        assertThat(mDecisions).hasSize(1).hasOnlyElementsOfType(Admission.Refused.class);
    }

    @Test
    void should_keep_the_queue_short_while_an_account_asks_for_more_than_its_limit() {
        // GIVEN
        List<Long> waits = new ArrayList<>();
        // WHEN
        // 40,000 tokens a second for six seconds: four times an equal share.
        for (int request = 0; request < 240; request++) {
            long came = mClock.millis();
            boolean late = request > 120;
            mLimiter.reserve(
                    ACCOUNT,
                    1_000,
                    PATIENCE,
                    admission -> {
                        mDecisions.add(admission);
                        if (late && admission instanceof Admission.Granted) {
                            waits.add(mClock.millis() - came);
                        }
                    });
            run(Duration.ofMillis(25));
        }
        run(LONGEST_WAIT);
        // THEN
        assertThat(mDecisions).hasSize(240);
        assertThat(waits).isNotEmpty();
        long most = LONGEST_WAIT.toMillis() / 4 + TokenLimiter.TICK_MILLISECONDS;
        assertThat(waits).allMatch(wait -> wait <= most);
    }

    private void drainFloor() {
        Admission last = new Admission.UnknownAccount();
        while (!(last instanceof Admission.Refused)) {
            List<Admission> decided = new ArrayList<>();
            mLimiter.reserve(ACCOUNT, 100, Duration.ZERO, decided::add);
            last = decided.get(0);
        }
    }

    private void reserve(long tokens) {
        mLimiter.reserve(ACCOUNT, tokens, PATIENCE, mDecisions::add);
    }

    private void holdHome() {
        mLimiter.homeLeaseHeld(
                new HomeLease(ACCOUNT, 7, mClock.instant().plusSeconds(10), OptionalLong.of(6)));
    }

    private TokenLimiter limiter() {
        LimiterSettings settings =
                LimiterSettings.builder(NodeName.of("node"), 1)
                        .maximumNodes(NODES)
                        .floorPercent(60)
                        .floorDelayMilliseconds(0)
                        .grantLifetimeMilliseconds(400)
                        .maximumWaitMilliseconds(250)
                        .prefetchMilliseconds(0)
                        .floorFirst(true)
                        .maximumWaitWithoutHomeMilliseconds(LONGEST_WAIT.toMillis())
                        .tolerance(new LimitTolerance(Duration.ofSeconds(8), 0.1, 17_000))
                        .build();
        TokenLimiter limiter = GrantLimiter.create(settings, mClock, (node, message) -> {});
        limiter.limitChanged(ACCOUNT, TokenLimit.of(RATE, RATE));
        return limiter;
    }

    private void run(Duration duration) {
        Duration left = duration;
        while (!left.isZero()) {
            Duration step = Duration.ofMillis(Math.min(left.toMillis(), 25));
            mClock.advance(step);
            mLimiter.tick();
            left = left.minus(step);
        }
    }
}
