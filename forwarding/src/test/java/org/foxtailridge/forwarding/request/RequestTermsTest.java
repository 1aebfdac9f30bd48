package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.configuration.WeightedService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The pattern: more streams than engines run; callers leave after two seconds without an event. */
class RequestTermsTest {
    @ParameterizedTest
    @CsvSource({
        // time, patience, expected
        "15000, 2000, 1600",
        "3000, 6000, 2625",
        "1000, , 875",
    })
    void should_be_given_up_before_its_caller_leaves(long time, Long patience, long expected) {
        // GIVEN
        ForwardingRoute route =
                new ForwardingRoute(
                        "route",
                        "host",
                        "/",
                        RequestKind.STREAM,
                        Duration.ofMillis(time),
                        Duration.ofMillis(400),
                        0,
                        List.of(new WeightedService("service", 1)),
                        1,
                        true,
                        false,
                        Optional.empty(),
                        Optional.ofNullable(patience).map(Duration::ofMillis));
        RequestTerms sample = RequestLifeTest.terms(RequestKind.STREAM, false, 1, false);

        // WHEN
        RequestTerms terms =
                new RequestTerms(
                        "run", sample.facts(), route, "service", Optional.empty(), 0, time, 0);

        // THEN
        assertThat(terms.startByMilliseconds()).isEqualTo(expected);
    }
}
