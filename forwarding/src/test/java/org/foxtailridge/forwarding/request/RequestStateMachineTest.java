package org.foxtailridge.forwarding.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.configuration.ForwardingAccount;
import org.foxtailridge.forwarding.configuration.ForwardingRoute;
import org.foxtailridge.forwarding.configuration.RequestKind;
import org.foxtailridge.forwarding.configuration.WeightedService;
import org.foxtailridge.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that run twice although that is unsafe, that end twice or never, or that
 * are answered with "not run" after an endpoint may have run them.
 */
class RequestStateMachineTest {
    private static final EndpointName ONE = EndpointName.of("one");
    private static final EndpointName TWO = EndpointName.of("two");
    private static final long TIME_MILLISECONDS = 1_000;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final Recorder mRecorder = new Recorder();

    @Test
    void should_reserve_queue_send_and_settle_a_request_that_is_answered() {
        // GIVEN
        RequestStateMachine stateMachine = stateMachine(RequestKind.AT_MOST_ONCE, false, 1, true);

        // WHEN
        stateMachine.start();
        stateMachine.tokensGranted();
        stateMachine.dispatched(ONE, false);
        stateMachine.answerCompleted();

        // THEN
        assertThat(mRecorder.mCalls)
                .containsExactly(
                        "reserve", "submit", "send one", "end FINISHED", "settle ran", "ended");
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT, NO_ENDPOINT",
        "NOT_RUN, NO_ENDPOINT",
        "FULL, OVERLOADED",
        "BROKEN, ENDPOINT_FAILED",
        "SILENT, ANSWER_TIMEOUT",
    })
    void should_report_whether_a_request_may_have_run_when_no_retry_is_allowed(
            AttemptFailure failure, ErrorKind expected) {
        // GIVEN a call that may be sent to one endpoint and must not run twice
        RequestStateMachine stateMachine = sent(RequestKind.AT_MOST_ONCE, false, 1);

        // WHEN
        stateMachine.attemptFailed(failure, false);
        if (stateMachine.phase() == RequestPhase.QUEUED) {
            stateMachine.refusedByQueue(ErrorKind.NO_ENDPOINT, 0);
        }

        // THEN
        assertThat(mRecorder.mCalls).contains("fail " + expected);
        boolean reportsNotRun =
                ErrorTable.answerTo(expected).executionStarted() == ExecutionStarted.NO;
        assertThat(reportsNotRun).isEqualTo(!failure.mayHaveRun());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptFailure.class,
            names = {"FAILED_ANSWER", "BROKEN", "SILENT"})
    void should_not_retry_a_request_that_may_have_run_and_must_not_run_twice(
            AttemptFailure failure) {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.AT_MOST_ONCE, false, 3);

        // WHEN
        stateMachine.attemptFailed(failure, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(1);
        assertThat(stateMachine.phase()).isEqualTo(RequestPhase.ENDED);
    }

    @ParameterizedTest
    @EnumSource(AttemptFailure.class)
    void should_retry_an_idempotent_request_at_another_endpoint(AttemptFailure failure) {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.IDEMPOTENT, false, 2);

        // WHEN
        stateMachine.attemptFailed(failure, false);
        stateMachine.dispatched(TWO, false);

        // THEN
        assertThat(mRecorder.mExcluded).containsExactly(ONE);
        assertThat(mRecorder.sends()).isEqualTo(2);
    }

    @Test
    void should_send_to_no_more_endpoints_than_the_route_allows() {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.IDEMPOTENT, false, 2);
        stateMachine.attemptFailed(AttemptFailure.BROKEN, false);
        stateMachine.dispatched(TWO, false);

        // WHEN
        stateMachine.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(2);
        assertThat(mRecorder.mCalls).contains("fail ENDPOINT_FAILED");
    }

    @Test
    void should_not_retry_when_the_retry_budget_is_used_up() {
        // GIVEN
        mRecorder.mHasRetryBudget = false;
        RequestStateMachine stateMachine = sent(RequestKind.IDEMPOTENT, false, 2);

        // WHEN
        stateMachine.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(1);
    }

    @Test
    void should_forward_the_endpoints_error_answer_when_no_retry_succeeds() {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.IDEMPOTENT, false, 2);
        stateMachine.attemptFailed(AttemptFailure.FAILED_ANSWER, true);

        // WHEN
        stateMachine.refusedByQueue(ErrorKind.NO_ENDPOINT, 0);

        // THEN
        assertThat(mRecorder.mCalls)
                .contains("forward buffered answer")
                .doesNotContain("fail NO_ENDPOINT");
    }

    @ParameterizedTest(name = "resumable {0}, continuable {1}")
    @CsvSource({"false, true", "true, false"})
    void should_abort_an_interrupted_stream_that_no_endpoint_can_continue(
            boolean resumable, boolean continuable) {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.STREAM, resumable, 2);
        stateMachine.answerPartForwarded(true);
        stateMachine.answerPartForwarded(continuable);

        // WHEN
        stateMachine.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.mCalls).contains("abort");
        assertThat(mRecorder.sends()).isEqualTo(1);
    }

    @Test
    void should_resume_an_interrupted_stream_at_another_endpoint() {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.STREAM, true, 2);
        stateMachine.answerPartForwarded(true);
        stateMachine.attemptFailed(AttemptFailure.BROKEN, false);

        // WHEN
        stateMachine.dispatched(TWO, false);
        stateMachine.answerPartForwarded(true);
        stateMachine.answerCompleted();

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(2);
        assertThat(mRecorder.mCalls).doesNotContain("abort");
    }

    @Test
    void should_report_not_run_when_the_deadline_passes_in_the_queue() {
        // GIVEN
        RequestStateMachine stateMachine = stateMachine(RequestKind.AT_MOST_ONCE, false, 1, false);
        stateMachine.start();

        // WHEN
        stateMachine.deadlinePassed();

        // THEN
        assertThat(mRecorder.mCalls).contains("withdraw", "fail DEADLINE_UNREACHABLE");
    }

    @Test
    void should_report_a_possible_run_when_the_deadline_passes_after_sending() {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.AT_MOST_ONCE, false, 1);

        // WHEN
        stateMachine.deadlinePassed();

        // THEN
        assertThat(mRecorder.mCalls).contains("end CANCELLED", "fail ANSWER_TIMEOUT");
    }

    @Test
    void should_cancel_the_attempt_when_the_caller_disconnects() {
        // GIVEN
        RequestStateMachine stateMachine = sent(RequestKind.STREAM, true, 2);

        // WHEN
        stateMachine.callerLeft();

        // THEN
        assertThat(mRecorder.mCalls).contains("end CANCELLED").doesNotContain("abort");
    }

    @Test
    void should_return_tokens_that_are_granted_after_the_caller_has_disconnected() {
        // GIVEN
        RequestStateMachine stateMachine = stateMachine(RequestKind.AT_MOST_ONCE, false, 1, true);
        stateMachine.start();
        stateMachine.callerLeft();

        // WHEN
        stateMachine.tokensGranted();

        // THEN
        assertThat(mRecorder.mCalls).contains("settle not run").doesNotContain("submit");
    }

    @Test
    void should_use_another_endpoint_when_the_adapter_cannot_be_loaded() {
        // GIVEN
        RequestStateMachine stateMachine = stateMachine(RequestKind.STREAM, false, 1, false);
        stateMachine.start();
        stateMachine.dispatched(ONE, true);

        // WHEN
        stateMachine.attemptFailed(AttemptFailure.NOT_PREPARED, false);
        stateMachine.dispatched(TWO, false);

        // THEN
        assertThat(mRecorder.mCalls).contains("load adapter one", "send two");
    }

    @ParameterizedTest
    @EnumSource(RequestPhase.class)
    void should_allow_only_the_listed_transitions(RequestPhase from) {
        assertThat(from.next()).doesNotContain(from, RequestPhase.NEW);
        assertThat(from == RequestPhase.ENDED).isEqualTo(from.next().isEmpty());
    }

    @Test
    void should_reject_a_transition_that_is_not_listed() {
        RequestStateMachine stateMachine = stateMachine(RequestKind.STREAM, false, 1, false);
        stateMachine.start();
        assertThatThrownBy(stateMachine::start).isInstanceOf(IllegalStateException.class);
    }

    @Property(tries = 5_000, seed = "4711")
    void should_end_exactly_once_and_never_deny_a_possible_run_in_any_order_of_events(
            @ForAll long seed) {
        Random random = new Random(seed);
        Recorder recorder = new Recorder();
        RequestKind kind = RequestKind.values()[random.nextInt(3)];
        boolean resumable = kind == RequestKind.STREAM && random.nextBoolean();
        RequestStateMachine stateMachine =
                stateMachine(
                        kind, resumable, 1 + random.nextInt(3), random.nextBoolean(), recorder);
        stateMachine.start();
        boolean stops = random.nextBoolean();
        boolean mayHaveRun = false;
        for (int step = 0; step < 40; step++) {
            boolean sent =
                    stateMachine.phase() == RequestPhase.SENT
                            || stateMachine.phase() == RequestPhase.ANSWERING;
            mayHaveRun |= step(stateMachine, random) && sent;
            recorder.mCanEndInTime &= !stops || random.nextInt(20) > 0;
        }
        stateMachine.callerLeft();

        assertThat(recorder.mCalls).filteredOn("ended"::equals).hasSize(1);
        assertThat(recorder.answers()).isLessThanOrEqualTo(1);
        if (mayHaveRun) {
            assertThat(recorder.mCalls)
                    .noneMatch(call -> call.startsWith("fail ") && reportsNotRun(call));
        }
    }

    private static boolean reportsNotRun(String call) {
        ErrorKind kind = ErrorKind.valueOf(call.substring("fail ".length()));
        return ErrorTable.answerTo(kind).executionStarted() == ExecutionStarted.NO;
    }

    /** Applies a random event; returns whether a request that was sent may have run after it. */
    private static boolean step(RequestStateMachine stateMachine, Random random) {
        EndpointName endpoint = EndpointName.of("endpoint-" + random.nextInt(4));
        switch (random.nextInt(11)) {
            case 0 -> stateMachine.tokensGranted();
            case 1 -> stateMachine.tokensRefused(ErrorKind.RATE_EXCEEDED, 100);
            case 2, 3 -> stateMachine.dispatched(endpoint, random.nextInt(4) == 0);
            case 4 -> stateMachine.adapterLoaded();
            case 5 -> stateMachine.answerPartForwarded(true);
            case 6 -> {
                AttemptFailure failure =
                        AttemptFailure.values()[random.nextInt(AttemptFailure.values().length)];
                stateMachine.attemptFailed(failure, false);
                return failure.mayHaveRun();
            }
            case 7 -> {
                if (random.nextInt(4) == 0) {
                    stateMachine.deadlinePassed();
                    return true;
                }
            }
            case 8 -> stateMachine.refuseIfLate();
            case 9 -> {
                if (random.nextInt(4) == 0) {
                    stateMachine.nodeExits();
                    return true;
                }
            }
            default -> stateMachine.refusedByQueue(ErrorKind.OVERLOADED, 0);
        }
        return false;
    }

    private RequestStateMachine sent(RequestKind kind, boolean resumable, int endpoints) {
        RequestStateMachine stateMachine = stateMachine(kind, resumable, endpoints, false);
        stateMachine.start();
        stateMachine.dispatched(ONE, false);
        return stateMachine;
    }

    private RequestStateMachine stateMachine(
            RequestKind kind, boolean resumable, int endpoints, boolean limited) {
        return stateMachine(kind, resumable, endpoints, limited, mRecorder);
    }

    private RequestStateMachine stateMachine(
            RequestKind kind,
            boolean resumable,
            int endpoints,
            boolean limited,
            Recorder recorder) {
        return new RequestStateMachine(
                resolved(kind, resumable, endpoints, limited),
                service -> recorder.mHasRetryBudget,
                request -> recorder.mCanEndInTime,
                mClock,
                recorder,
                new IgnoringListener());
    }

    static ResolvedRequest resolved(
            RequestKind kind, boolean resumable, int endpoints, boolean limited) {
        ForwardingRoute route =
                new ForwardingRoute(
                        "route",
                        "host",
                        "/path/",
                        kind,
                        Duration.ofMillis(TIME_MILLISECONDS),
                        Duration.ofMillis(100),
                        0,
                        List.of(new WeightedService("service", 1)),
                        endpoints,
                        !limited,
                        resumable,
                        Optional.empty(),
                        Optional.empty());
        RequestMetadata metadata =
                new RequestMetadata(
                        "request",
                        "host",
                        "/path/x",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        OptionalInt.empty(),
                        OptionalInt.empty(),
                        OptionalInt.empty(),
                        List.of(),
                        Optional.empty());
        Optional<ForwardingAccount> account =
                limited
                        ? Optional.of(
                                new ForwardingAccount(
                                        "account", OptionalInt.empty(), true, 100, 100, 1))
                        : Optional.empty();
        return new ResolvedRequest(
                "run", metadata, route, "service", account, 0, TIME_MILLISECONDS, limited ? 5 : 0);
    }

    private static final class Recorder implements RequestOutbox {
        private final List<String> mCalls = new ArrayList<>();
        private Set<EndpointName> mExcluded = Set.of();
        private boolean mHasRetryBudget = true;
        private boolean mCanEndInTime = true;

        private long sends() {
            return mCalls.stream().filter(call -> call.startsWith("send ")).count();
        }

        private long answers() {
            return mCalls.stream()
                    .filter(
                            call ->
                                    call.startsWith("fail ")
                                            || call.equals("abort")
                                            || call.equals("forward buffered answer"))
                    .count();
        }

        @Override
        public void reserve() {
            mCalls.add("reserve");
        }

        @Override
        public void settle(boolean mayHaveRun) {
            mCalls.add(mayHaveRun ? "settle ran" : "settle not run");
        }

        @Override
        public void submit(Set<EndpointName> excluded, boolean mayHaveRun) {
            mExcluded = excluded;
            mCalls.add("submit");
        }

        @Override
        public void withdraw() {
            mCalls.add("withdraw");
        }

        @Override
        public void loadAdapter(EndpointName endpoint) {
            mCalls.add("load adapter " + endpoint);
        }

        @Override
        public void send(EndpointName endpoint) {
            mCalls.add("send " + endpoint);
        }

        @Override
        public void endAttempt(AttemptOutcome outcome) {
            mCalls.add("end " + outcome);
        }

        @Override
        public void forwardBufferedAnswer() {
            mCalls.add("forward buffered answer");
        }

        @Override
        public void fail(ErrorKind kind, long retryAfterMilliseconds) {
            mCalls.add("fail " + kind);
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
}
