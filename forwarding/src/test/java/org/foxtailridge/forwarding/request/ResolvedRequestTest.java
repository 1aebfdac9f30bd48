package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against streams that wait in an overloaded queue for so long that their callers disconnect
 * before the first event.
 */
class ResolvedRequestTest {
    @ParameterizedTest
    @CsvSource({
        // time, event timeout, expected
        "15000, 2000, 1600",
        "3000, 6000, 2625",
        "1000, , 875",
    })
    void should_end_the_wait_for_an_endpoint_before_the_caller_disconnects(
            long time, Long eventTimeout, long expected) {
        // WHEN
        ResolvedRequest resolved =
                TestRequests.of(RequestKind.STREAM)
                        .timeMilliseconds(time)
                        .eventTimeout(Optional.ofNullable(eventTimeout).map(Duration::ofMillis))
                        .build();

        // THEN
        assertThat(resolved.dispatchDeadlineMilliseconds()).isEqualTo(expected);
    }
}
