package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The pattern: more streams than engines run; callers leave after two seconds without an event. */
class ResolvedRequestTest {
    @ParameterizedTest
    @CsvSource({
        // time, patience, expected
        "15000, 2000, 1600",
        "3000, 6000, 2625",
        "1000, , 875",
    })
    void should_be_given_up_before_its_caller_leaves(long time, Long patience, long expected) {
        // WHEN
        ResolvedRequest terms =
                TestRequests.of(RequestKind.STREAM)
                        .time(time)
                        .eventPatience(Optional.ofNullable(patience).map(Duration::ofMillis))
                        .build();

        // THEN
        assertThat(terms.startByMilliseconds()).isEqualTo(expected);
    }
}
