package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;

/**
 * Guards against refused callers that retry too early, too late for their deadline, or all at the
 * same moment, as happens when many callers request a model that no engine holds.
 */
class RetryAfterRuleTest {
    private final RetryAfterRule mRule = new RetryAfterRule(new SplittableRandom(5));

    @Test
    void should_return_the_load_time_of_a_model_that_no_engine_holds() {
        assertThat(mRule.milliseconds(request("m", 15_000), ErrorKind.NO_ENDPOINT, 0, 0))
                .isBetween(2_500L, 3_750L);
    }

    @Test
    void should_spread_the_retries_of_callers() {
        LongStream retryTimes =
                LongStream.generate(
                                () ->
                                        mRule.milliseconds(
                                                request("m", 15_000), ErrorKind.NO_ENDPOINT, 0, 0))
                        .limit(100);
        assertThat(retryTimes.distinct().count()).isGreaterThan(50);
    }

    @Test
    void should_not_exceed_a_third_of_the_remaining_time() {
        assertThat(mRule.milliseconds(request("m", 3_000), ErrorKind.NO_ENDPOINT, 0, 0))
                .isEqualTo(1_000);
        assertThat(mRule.milliseconds(request("m", 3_000), ErrorKind.NO_ENDPOINT, 0, 2_999))
                .isEqualTo(1);
    }

    @Test
    void should_delay_and_spread_retries_for_an_overloaded_model() {
        // GIVEN callers with 15 s until their deadline, who wait at most 5 s
        LongStream retryTimes =
                LongStream.generate(
                                () ->
                                        mRule.milliseconds(
                                                request("m", 15_000),
                                                ErrorKind.DEADLINE_UNREACHABLE,
                                                0,
                                                0))
                        .limit(100);
        // THEN
        long[] sorted = retryTimes.sorted().toArray();
        assertThat(sorted[0]).isBetween(2_500L, 2_700L);
        assertThat(sorted[99]).isBetween(4_800L, 5_000L);
    }

    @Test
    void should_use_the_time_at_which_tokens_are_available_again() {
        assertThat(mRule.milliseconds(request("m", 15_000), ErrorKind.RATE_EXCEEDED, 700, 0))
                .isBetween(700L, 1_050L);
    }

    @Test
    void should_prefer_a_known_time_to_the_load_time_of_a_model() {
        assertThat(mRule.milliseconds(request("m", 300_000), ErrorKind.NO_ENDPOINT, 60_000, 0))
                .isBetween(60_000L, 90_000L);
    }

    private static ResolvedRequest request(String model, long timeMilliseconds) {
        return TestRequests.of(RequestKind.STREAM)
                .model(model)
                .timeMilliseconds(timeMilliseconds)
                .build();
    }
}
