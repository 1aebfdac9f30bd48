package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that crash endpoints because they were accepted before requests like them
 * were held back, and against a refusal as "not run" of one that was sent.
 */
class HeldBackRequestTest {
    private static final EndpointName ENDPOINT = EndpointName.of("endpoint");
    private static final long HELD_BACK_MILLISECONDS = 60_000;

    private final RecordingOutbox mOutbox = new RecordingOutbox();
    private final RequestStateMachine mRequest =
            new RequestStateMachine(
                    TestRequests.of(RequestKind.STREAM).timeMilliseconds(15_000).build(),
                    service -> true,
                    request -> true,
                    ManualClock.atEpoch(),
                    mOutbox,
                    new IgnoringListener());

    @Test
    void should_refuse_a_request_that_waits_in_the_queue() {
        // GIVEN
        mRequest.start();

        // WHEN
        mRequest.heldBack(HELD_BACK_MILLISECONDS);

        // THEN
        assertThat(mOutbox.calls())
                .containsExactly("submit", "withdraw", "fail NO_ENDPOINT 60000", "ended");
    }

    @Test
    void should_refuse_a_request_that_waits_for_its_adapter() {
        // GIVEN
        mRequest.start();
        mRequest.dispatched(ENDPOINT, true);

        // WHEN
        mRequest.heldBack(HELD_BACK_MILLISECONDS);

        // THEN
        assertThat(mOutbox.calls())
                .containsExactly(
                        "submit", "load", "end CANCELLED", "fail NO_ENDPOINT 60000", "ended");
    }

    @Test
    void should_not_end_a_request_that_was_sent() {
        // GIVEN
        mRequest.start();
        mRequest.dispatched(ENDPOINT, false);

        // WHEN
        mRequest.heldBack(HELD_BACK_MILLISECONDS);
        mRequest.answerCompleted();

        // THEN
        assertThat(mOutbox.calls()).containsExactly("submit", "send", "end FINISHED", "ended");
    }
}
