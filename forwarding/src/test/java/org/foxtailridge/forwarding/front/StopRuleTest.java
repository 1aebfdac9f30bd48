package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.configuration.WeightedService;
import org.foxtailridge.forwarding.request.RequestFacts;
import org.foxtailridge.forwarding.request.RequestTerms;
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
        assertThat(mRule.mayBegin(stream(2_000, 20_000, 5_000), 2_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"2500, 300, true", "2990, 300, true", "3100, 300, false", "2500, 1000, false"})
    void should_begin_a_stream_that_ends_before_the_process(
            long now, int tokens, boolean expected) {
        assertThat(mRule.mayBegin(stream(now, 20_000, tokens), now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"6500, 1000, true", "6700, 1000, false", "6700, 800, true"})
    void should_begin_a_call_whose_time_is_over_before_the_process_ends(
            long now, long time, boolean expected) {
        assertThat(
                        mRule.mayBegin(
                                terms(RequestKind.AT_MOST_ONCE, now, time, OptionalInt.empty()),
                                now))
                .isEqualTo(expected);
    }

    private static RequestTerms stream(long arrived, long time, int tokens) {
        return terms(RequestKind.STREAM, arrived, time, OptionalInt.of(tokens));
    }

    private static RequestTerms terms(
            RequestKind kind, long arrived, long time, OptionalInt tokens) {
        ForwardingRoute route =
                new ForwardingRoute(
                        "route",
                        "host",
                        "/",
                        kind,
                        Duration.ofMillis(time),
                        Duration.ofMillis(400),
                        0,
                        List.of(new WeightedService("service", 1)),
                        1,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty());
        RequestFacts facts =
                new RequestFacts(
                        "request",
                        "host",
                        "/",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        OptionalInt.empty(),
                        tokens,
                        OptionalInt.empty(),
                        List.of(),
                        Optional.empty());
        return new RequestTerms(
                "run", facts, route, "service", Optional.empty(), arrived, arrived + time, 0);
    }
}
