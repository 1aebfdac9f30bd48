package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The pattern: callers come to nodes that stop, as too few others of the data centre are left. */
class StopRuleTest {
    private static final long ALL_UNTIL = 2_300;
    private static final long END = 7_600;

    private final StopRule mRule = new StopRule(ALL_UNTIL, END);

    @Test
    void should_begin_every_request_until_callers_can_know_of_the_stop() {
        assertThat(mRule.mayBegin(stream(2_000, 5_000), 2_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"2500, 300, true", "2990, 300, true", "3100, 300, false", "2500, 1000, false"})
    void should_begin_a_stream_that_ends_before_the_process(
            long now, int tokens, boolean expected) {
        assertThat(mRule.mayBegin(stream(now, tokens), now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"6500, 1000, true", "6700, 1000, false", "6700, 800, true"})
    void should_begin_a_call_whose_time_is_over_before_the_process_ends(
            long now, long time, boolean expected) {
        ResolvedRequest call =
                TestRequests.of(RequestKind.AT_MOST_ONCE).arrived(now).time(time).build();
        assertThat(mRule.mayBegin(call, now)).isEqualTo(expected);
    }

    private static ResolvedRequest stream(long arrived, int tokens) {
        return TestRequests.of(RequestKind.STREAM)
                .arrived(arrived)
                .time(20_000)
                .outputTokens(tokens)
                .build();
    }
}
