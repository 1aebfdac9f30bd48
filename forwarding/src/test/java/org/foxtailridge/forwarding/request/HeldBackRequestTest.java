package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that crash endpoints because they were accepted before requests like them
 * were held back, and against a refusal as "not run" of one that was sent.
 */
class HeldBackRequestTest {
    private static final EndpointName ENDPOINT = EndpointName.of("endpoint");
    private static final long HELD_BACK_MILLISECONDS = 60_000;

    private final List<String> mCalls = new ArrayList<>();
    private final RequestStateMachine mRequest =
            new RequestStateMachine(
                    TestRequests.of(RequestKind.STREAM).timeMilliseconds(15_000).build(),
                    service -> true,
                    ManualClock.atEpoch(),
                    new Recorder(),
                    new IgnoringListener());

    @Test
    void should_refuse_a_request_that_waits_in_the_queue() {
        // GIVEN
        mRequest.start();

        // WHEN
        mRequest.heldBack(HELD_BACK_MILLISECONDS);

        // THEN
        assertThat(mCalls).containsExactly("submit", "withdraw", "fail NO_ENDPOINT 60000", "ended");
    }

    @Test
    void should_refuse_a_request_that_waits_for_its_adapter() {
        // GIVEN
        mRequest.start();
        mRequest.dispatched(ENDPOINT, true);

        // WHEN
        mRequest.heldBack(HELD_BACK_MILLISECONDS);

        // THEN
        assertThat(mCalls)
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
        assertThat(mCalls).containsExactly("submit", "send", "end FINISHED", "ended");
    }

    private final class Recorder implements RequestOutbox {
        @Override
        public void reserve() {
            mCalls.add("reserve");
        }

        @Override
        public void settle(boolean mayHaveRun) {
            mCalls.add("settle");
        }

        @Override
        public void submit(Set<EndpointName> excluded, boolean mayHaveRun) {
            mCalls.add("submit");
        }

        @Override
        public void withdraw() {
            mCalls.add("withdraw");
        }

        @Override
        public void loadAdapter(EndpointName endpoint) {
            mCalls.add("load");
        }

        @Override
        public void send(EndpointName endpoint) {
            mCalls.add("send");
        }

        @Override
        public void endAttempt(AttemptOutcome outcome) {
            mCalls.add("end " + outcome);
        }

        @Override
        public void forwardBufferedAnswer() {
            mCalls.add("forward");
        }

        @Override
        public void fail(ErrorKind kind, long retryAfterMilliseconds) {
            mCalls.add("fail " + kind + " " + retryAfterMilliseconds);
        }

        @Override
        public void abort() {
            mCalls.add("abort");
        }

        @Override
        public void ended() {
            mCalls.add("ended");
        }
    }

    private static final class IgnoringListener implements RequestListener {
        @Override
        public void sent(ResolvedRequest resolved, EndpointName endpoint, int endpointsTried) {}

        @Override
        public void attemptFailed(
                ResolvedRequest resolved,
                EndpointName endpoint,
                AttemptFailure failure,
                boolean willRetry) {}

        @Override
        public void answered(ResolvedRequest resolved, EndpointName endpoint) {}

        @Override
        public void failed(
                ResolvedRequest resolved,
                RequestPhase phase,
                ErrorKind kind,
                boolean mayHaveRun,
                boolean hasBufferedAnswer) {}

        @Override
        public void callerLeft(ResolvedRequest resolved, RequestPhase phase) {}
    }
}
