package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.ResolvedRequest;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against accepting requests that outlive the process, when callers still connect to a
 * stopping node because too few other nodes of the data centre are left.
 */
class StopRuleTest {
    private static final long ACCEPT_ALL_UNTIL_MILLISECONDS = 2_300;
    private static final long END_MILLISECONDS = 7_600;

    private final StopRule mRule = new StopRule(ACCEPT_ALL_UNTIL_MILLISECONDS, END_MILLISECONDS);

    @Test
    void should_accept_every_request_until_callers_can_know_of_the_stop() {
        assertThat(mRule.accepts(stream(2_000, 5_000), 2_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"2500, 300, true", "2990, 300, true", "3100, 300, false", "2500, 1000, false"})
    void should_accept_a_stream_only_if_it_ends_before_the_process(
            long now, int tokens, boolean expected) {
        assertThat(mRule.accepts(stream(now, tokens), now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"6500, 1000, true", "6700, 1000, false", "6700, 800, true"})
    void should_accept_a_call_only_if_its_deadline_is_before_the_exit_of_the_process(
            long now, long time, boolean expected) {
        ResolvedRequest call =
                TestRequests.of(RequestKind.AT_MOST_ONCE)
                        .arrivedMilliseconds(now)
                        .timeMilliseconds(time)
                        .build();
        assertThat(mRule.accepts(call, now)).isEqualTo(expected);
    }

    private static ResolvedRequest stream(long arrived, int tokens) {
        return TestRequests.of(RequestKind.STREAM)
                .arrivedMilliseconds(arrived)
                .timeMilliseconds(20_000)
                .outputTokens(tokens)
                .build();
    }
}
