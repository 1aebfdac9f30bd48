package org.foxtailridge.forwarding.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.Stream;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.foxtailridge.forwarding.request.IgnoringListener;
import org.foxtailridge.forwarding.request.RecordingOutbox;
import org.foxtailridge.forwarding.request.RequestStateMachine;
import org.foxtailridge.forwarding.request.TestRequests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests that a stopping node accepted in time, but passes on so late that they
 * outlive its process.
 */
class StoppingRequestTest {
    private static final EndpointName ONE = EndpointName.of("one");
    private static final EndpointName TWO = EndpointName.of("two");
    private static final long ACCEPT_ALL_UNTIL_MILLISECONDS = 2_300;
    private static final long END_MILLISECONDS = 7_600;
    private static final long ARRIVAL_MILLISECONDS = 2_000;
    private static final Duration IN_TIME = Duration.ofMillis(100);
    // The stream needs 3.5 s.
    private static final Duration TOO_LATE = Duration.ofMillis(2_500);

    private final ManualClock mClock = ManualClock.atEpoch();
    private final StreamPace mPace = new StreamPace(mClock);
    private final StopRule mRule =
            new StopRule(ACCEPT_ALL_UNTIL_MILLISECONDS, END_MILLISECONDS, mPace);
    private final RecordingOutbox mOutbox = new RecordingOutbox();

    @Test
    void should_refuse_a_request_that_is_dispatched_too_late() {
        // GIVEN
        RequestStateMachine request = started(stream());
        // WHEN
        mClock.advance(TOO_LATE);
        request.dispatched(ONE, false);
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "end CANCELLED", "withdraw", "fail STOPPING 0", "ended");
    }

    @Test
    void should_send_a_request_that_is_dispatched_in_time() {
        // GIVEN
        RequestStateMachine request = started(stream());
        // WHEN
        mClock.advance(IN_TIME);
        request.dispatched(ONE, false);
        // THEN
        assertThat(mOutbox.calls()).containsExactly("submit", "send");
    }

    @Test
    void should_not_load_an_adapter_for_a_request_that_is_late() {
        // GIVEN
        RequestStateMachine request = started(stream());
        // WHEN
        mClock.advance(TOO_LATE);
        request.dispatched(ONE, true);
        // THEN
        assertThat(mOutbox.calls()).contains("fail STOPPING 0").doesNotContain("load", "send");
    }

    @Test
    void should_refuse_a_request_whose_adapter_is_loaded_too_late() {
        // GIVEN
        RequestStateMachine request = started(stream());
        request.dispatched(ONE, true);
        // WHEN
        mClock.advance(TOO_LATE);
        request.adapterLoaded();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "load", "end CANCELLED", "fail STOPPING 0", "ended");
    }

    @Test
    void should_refuse_a_request_whose_tokens_are_granted_too_late() {
        // GIVEN
        RequestStateMachine request = started(stream().countedTokens(5));
        // WHEN
        mClock.advance(TOO_LATE);
        request.tokensGranted();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("reserve", "fail STOPPING 0", "settle", "ended");
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptFailure.class,
            names = {"NOT_SENT", "NOT_RUN", "FULL"})
    void should_refuse_a_request_that_was_not_run_instead_of_retrying_it_too_late(
            AttemptFailure failure) {
        // GIVEN
        RequestStateMachine request = started(stream().maximumEndpoints(3));
        request.dispatched(ONE, false);
        // WHEN
        mClock.advance(TOO_LATE);
        request.attemptFailed(failure, false);
        // THEN
        assertThat(mOutbox.calls()).endsWith("fail STOPPING 0", "ended").containsOnlyOnce("submit");
    }

    @Test
    void should_not_claim_that_a_request_did_not_run_when_its_retry_is_too_late() {
        // GIVEN a call that may run twice
        RequestStateMachine request =
                started(TestRequests.of(RequestKind.IDEMPOTENT).maximumEndpoints(3));
        request.dispatched(ONE, false);
        request.attemptFailed(AttemptFailure.BROKEN, false);
        // WHEN
        mClock.advance(TOO_LATE);
        request.dispatched(TWO, false);
        // THEN
        assertThat(mOutbox.calls())
                .containsOnlyOnce("send")
                .endsWith("fail ENDPOINT_FAILED 0", "ended");
    }

    @Test
    void should_wait_for_a_silent_endpoint_when_a_retry_is_too_late() {
        // GIVEN a call that may run twice
        RequestStateMachine request =
                started(TestRequests.of(RequestKind.IDEMPOTENT).maximumEndpoints(3));
        request.dispatched(ONE, false);
        // WHEN
        mClock.advance(TOO_LATE);
        request.attemptTimedOut();
        request.answerCompleted();
        // THEN
        assertThat(mOutbox.calls()).containsExactly("submit", "send", "end FINISHED", "ended");
    }

    @Test
    void should_continue_a_stream_that_has_begun() {
        // GIVEN
        RequestStateMachine request = started(stream().maximumEndpoints(3).resumable());
        request.dispatched(ONE, false);
        request.answerPartForwarded(true);
        // WHEN
        mClock.advance(TOO_LATE);
        request.attemptFailed(AttemptFailure.BROKEN, false);
        request.refuseIfLate();
        request.dispatched(TWO, false);
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "send", "end FAILED", "submit", "send");
    }

    @ParameterizedTest(name = "{0} after {1} ms")
    @MethodSource("waitingRequests")
    void should_refuse_a_waiting_request_as_soon_as_it_is_late(
            TestRequests builder, long waitMilliseconds, boolean refused) {
        // GIVEN
        RequestStateMachine request = started(builder);
        // WHEN
        mClock.advance(Duration.ofMillis(waitMilliseconds));
        request.refuseIfLate();
        // THEN
        assertThat(mOutbox.calls().contains("fail STOPPING 0")).isEqualTo(refused);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void should_not_end_a_late_request_that_is_sent(boolean answerHasBegun) {
        // GIVEN
        RequestStateMachine request = started(stream());
        request.dispatched(ONE, false);
        if (answerHasBegun) {
            request.answerPartForwarded(true);
        }
        // WHEN
        mClock.advance(TOO_LATE);
        request.refuseIfLate();
        // THEN
        assertThat(mOutbox.calls()).containsExactly("submit", "send");
    }

    private static Stream<Arguments> waitingRequests() {
        return Stream.of(
                Arguments.of(stream(), 200, false),
                Arguments.of(stream(), 2_000, false),
                Arguments.of(stream(), 2_500, true),
                Arguments.of(call(5_000), 400, false),
                Arguments.of(call(12_000), 200, false),
                Arguments.of(call(12_000), 400, true));
    }

    private static TestRequests call(long timeMilliseconds) {
        return TestRequests.of(RequestKind.AT_MOST_ONCE)
                .arrivedMilliseconds(ARRIVAL_MILLISECONDS)
                .timeMilliseconds(timeMilliseconds);
    }

    private static TestRequests stream() {
        return TestRequests.of(RequestKind.STREAM)
                .arrivedMilliseconds(ARRIVAL_MILLISECONDS)
                .outputTokens(150);
    }

    private RequestStateMachine started(TestRequests builder) {
        mPace.record(stream().build(), 400, 2_800);
        mClock.advance(Duration.ofMillis(ARRIVAL_MILLISECONDS));
        RequestStateMachine request =
                new RequestStateMachine(
                        builder.build(),
                        service -> true,
                        resolved -> mRule.accepts(resolved, mClock.millis()),
                        mClock,
                        mOutbox,
                        new IgnoringListener());
        request.start();
        return request;
    }
}
