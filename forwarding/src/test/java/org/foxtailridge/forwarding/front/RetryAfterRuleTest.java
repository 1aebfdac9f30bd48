package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;

/** The pattern: many callers ask for a model that no engine holds, and are told when to return. */
class RetryAfterRuleTest {
    private final RetryAfterRule mRule = new RetryAfterRule(new SplittableRandom(5));

    @Test
    void should_send_callers_of_a_missing_model_back_when_it_can_be_loaded() {
        assertThat(mRule.milliseconds(terms("m", 15_000), ErrorKind.NO_ENDPOINT, 0, 0))
                .isBetween(2_500L, 3_750L);
    }

    @Test
    void should_spread_the_return_of_callers() {
        LongStream returns =
                LongStream.generate(
                                () ->
                                        mRule.milliseconds(
                                                terms("m", 15_000), ErrorKind.NO_ENDPOINT, 0, 0))
                        .limit(100);
        assertThat(returns.distinct().count()).isGreaterThan(50);
    }

    @Test
    void should_never_ask_for_more_patience_than_a_caller_has() {
        assertThat(mRule.milliseconds(terms("m", 3_000), ErrorKind.NO_ENDPOINT, 0, 0))
                .isEqualTo(1_000);
        assertThat(mRule.milliseconds(terms("m", 3_000), ErrorKind.NO_ENDPOINT, 0, 2_999))
                .isEqualTo(1);
    }

    @Test
    void should_send_callers_of_a_crowded_model_back_late_and_spread() {
        // GIVEN callers that have 15 s, of which they wait 5 s at most
        LongStream returns =
                LongStream.generate(
                                () ->
                                        mRule.milliseconds(
                                                terms("m", 15_000),
                                                ErrorKind.DEADLINE_UNREACHABLE,
                                                0,
                                                0))
                        .limit(100);
        // THEN
        long[] sorted = returns.sorted().toArray();
        assertThat(sorted[0]).isBetween(2_500L, 2_700L);
        assertThat(sorted[99]).isBetween(4_800L, 5_000L);
    }

    @Test
    void should_keep_to_the_time_at_which_tokens_are_there_again() {
        assertThat(mRule.milliseconds(terms("m", 15_000), ErrorKind.RATE_EXCEEDED, 700, 0))
                .isBetween(700L, 1_050L);
    }

    private static ResolvedRequest terms(String model, long endsMilliseconds) {
        return TestRequests.of(RequestKind.STREAM).model(model).time(endsMilliseconds).build();
    }
}
