package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailridge.core.time.ManualClock;
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

    private final StreamPace mPace = new StreamPace(ManualClock.atEpoch());
    private final StopRule mRule =
            new StopRule(ACCEPT_ALL_UNTIL_MILLISECONDS, END_MILLISECONDS, mPace);

    @Test
    void should_accept_every_request_until_callers_can_know_of_the_stop() {
        assertThat(mRule.accepts(stream(2_000, 5_000), 2_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"2500, 300, true", "2990, 300, true", "3100, 300, false", "2500, 1000, false"})
    void should_accept_a_stream_only_if_it_ends_before_the_process(
            long now, int tokens, boolean expected) {
        // GIVEN an engine with a full batch
        mPace.record(stream(0, 300), 800, 3_680);
        // WHEN a stream arrives, THEN it is accepted only if it ends in time
        assertThat(mRule.accepts(stream(now, tokens), now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"2500, true", "4000, false", "5000, false"})
    void should_refuse_a_stream_that_a_slow_endpoint_can_not_end_in_time(
            long now, boolean expected) {
        // GIVEN endpoints that need 33 ms for a token
        mPace.record(stream(0, 120), 5, 3_810);
        // WHEN a stream arrives, THEN it is refused once it would outlive the process
        assertThat(mRule.accepts(stream(now, 120), now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"2500, 40, true", "2500, 120, false"})
    void should_assume_a_slow_endpoint_until_a_stream_has_ended(
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
