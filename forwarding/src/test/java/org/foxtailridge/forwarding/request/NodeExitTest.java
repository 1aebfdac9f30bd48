package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against connections that a stopping node closes without an answer when it exits. */
class NodeExitTest {
    private static final EndpointName ENDPOINT = EndpointName.of("endpoint");

    private final RecordingOutbox mOutbox = new RecordingOutbox();

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void should_answer_a_request_that_may_have_run_without_a_promise(RequestKind kind) {
        // GIVEN
        RequestStateMachine request = started(TestRequests.of(kind));
        request.dispatched(ENDPOINT, false);
        // WHEN
        request.nodeExits();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly(
                        "submit", "send", "end CANCELLED", "fail ANSWER_TIMEOUT 0", "ended");
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void should_refuse_a_request_in_the_queue_as_not_run(RequestKind kind) {
        // GIVEN
        RequestStateMachine request = started(TestRequests.of(kind));
        // WHEN
        request.nodeExits();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "withdraw", "fail STOPPING 0", "ended");
    }

    @Test
    void should_refuse_a_request_that_waits_for_its_adapter_as_not_run() {
        // GIVEN
        RequestStateMachine request = started(TestRequests.of(RequestKind.STREAM));
        request.dispatched(ENDPOINT, true);
        // WHEN
        request.nodeExits();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "load", "end CANCELLED", "fail STOPPING 0", "ended");
    }

    @Test
    void should_refuse_a_request_that_waits_for_tokens_as_not_run() {
        // GIVEN
        RequestStateMachine request = started(TestRequests.of(RequestKind.STREAM).countedTokens(5));
        // WHEN
        request.nodeExits();
        request.tokensGranted();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("reserve", "fail STOPPING 0", "ended", "settle");
    }

    @Test
    void should_not_promise_that_a_request_did_not_run_which_waits_for_a_retry() {
        // GIVEN
        RequestStateMachine request =
                started(TestRequests.of(RequestKind.IDEMPOTENT).maximumEndpoints(2));
        request.dispatched(ENDPOINT, false);
        request.attemptFailed(AttemptFailure.BROKEN, false);
        // WHEN
        request.nodeExits();
        // THEN
        assertThat(mOutbox.calls()).endsWith("withdraw", "fail ANSWER_TIMEOUT 0", "ended");
    }

    @Test
    void should_cut_an_answer_that_has_begun() {
        // GIVEN
        RequestStateMachine request = started(TestRequests.of(RequestKind.STREAM));
        request.dispatched(ENDPOINT, false);
        request.answerPartForwarded(true);
        // WHEN
        request.nodeExits();
        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "send", "end CANCELLED", "abort", "ended");
    }

    private RequestStateMachine started(TestRequests builder) {
        RequestStateMachine request =
                new RequestStateMachine(
                        builder.build(),
                        service -> true,
                        resolved -> true,
                        ManualClock.atEpoch(),
                        mOutbox,
                        new IgnoringListener());
        request.start();
        return request;
    }
}
