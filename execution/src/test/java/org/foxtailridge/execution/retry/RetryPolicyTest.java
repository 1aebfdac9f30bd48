package org.foxtailridge.execution.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Checks which attempts are followed by another, against plain counts. */
class RetryPolicyTest {
    private static final int STEPS = 200;
    private static final RetrySettings SETTINGS = RetrySettings.builder().build();

    @Property(seed = "65", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_keep_retries_safe_and_within_the_budget(@ForAll long seed) {
        run(seed, SETTINGS, RetryRule.SAFE);
    }

    @Test
    void should_catch_retries_of_what_may_have_begun() {
        assertThatThrownBy(() -> run(1, SETTINGS, failed -> true))
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void should_catch_a_larger_budget() {
        RetrySettings generous = RetrySettings.builder().budgetShare(0.3).build();
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 100; seed++) {
                                run(seed, generous, RetryRule.SAFE);
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void should_keep_a_bounded_number_of_budgets() {
        // GIVEN
        RetryBudgets budgets = new RetryBudgets(RetrySettings.builder().maximumBudgets(5).build());
        // WHEN
        for (int index = 0; index < 100; index++) {
            budgets.firstTry("account-" + index);
        }
        // THEN
        assertThat(budgets.size()).isEqualTo(5);
    }

    private static void run(long seed, RetrySettings settings, RetryRule rule) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RetryPolicy policy = new RetryPolicy(ManualClock.atEpoch(), settings, seed, rule);
        Map<String, Integer> firstTries = new HashMap<>();
        Map<String, Integer> retries = new HashMap<>();
        for (int step = 0; step < STEPS; step++) {
            String account = "account-" + random.nextInt(2);
            String endpoint = "engine-" + random.nextInt(3);
            if (random.nextInt(3) > 0) {
                policy.firstTry(account, endpoint);
                firstTries.merge(account, 1, Integer::sum);
                firstTries.merge(endpoint, 1, Integer::sum);
                continue;
            }
            FailedAttempt failed = failed(random, account, endpoint);
            RetryDecision decision = policy.decide(failed);
            if (decision instanceof RetryDecision.GiveUp giveUp) {
                boolean saysNotRun =
                        ErrorTable.answerTo(giveUp.kind()).executionStarted()
                                == ExecutionStarted.NO;
                assertThat(saysNotRun).isEqualTo(!failed.mayHaveBegun());
                continue;
            }
            assertThat(failed.tries()).isLessThan(SETTINGS.maximumTries());
            assertThat(!failed.mayHaveBegun() || failed.idempotent()).as("safe").isTrue();
            if (failed.mayHaveBegun()) {
                retries.merge(account, 1, Integer::sum);
                retries.merge(endpoint, 1, Integer::sum);
            }
        }
        retries.forEach(
                (name, count) ->
                        assertThat((double) count)
                                .as("retries of %s", name)
                                .isLessThanOrEqualTo(
                                        SETTINGS.allowance()
                                                + 0.1 * firstTries.getOrDefault(name, 0)
                                                + 1e-6));
    }

    private static FailedAttempt failed(
            UniformRandomProvider random, String account, String endpoint) {
        return new FailedAttempt(
                account,
                endpoint,
                random.nextInt(3) > 0,
                AttemptProgress.values()[random.nextInt(3)],
                random.nextInt(4) == 0,
                1 + random.nextInt(5),
                Instant.EPOCH.plusSeconds(random.nextInt(10)),
                random.nextInt(2) == 0 ? ErrorKind.ENDPOINT_FAILED : ErrorKind.ANSWER_TIMEOUT);
    }
}
