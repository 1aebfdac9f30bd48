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

class RequestStateMachineTest {
    private static final EndpointName ONE = EndpointName.of("one");
    private static final EndpointName TWO = EndpointName.of("two");
    private static final long TIME_MILLISECONDS = 1_000;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final Recorder mRecorder = new Recorder();

    @Test
    void should_reserve_queue_send_and_settle_a_request_that_is_answered() {
        // GIVEN
        RequestStateMachine life = life(RequestKind.AT_MOST_ONCE, false, 1, true);

        // WHEN
        life.start();
        life.tokensGranted();
        life.dispatched(ONE, false);
        life.answerComplete();

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
    void should_answer_a_failed_attempt_truly_when_no_other_may_follow(
            AttemptFailure failure, ErrorKind expected) {
        // GIVEN a call that may go to one endpoint and run once
        RequestStateMachine life = sent(RequestKind.AT_MOST_ONCE, false, 1);

        // WHEN
        life.attemptFailed(failure, false);
        if (life.phase() == RequestPhase.QUEUED) {
            life.refused(ErrorKind.NO_ENDPOINT, 0);
        }

        // THEN
        assertThat(mRecorder.mCalls).contains("fail " + expected);
        boolean saysNotRun =
                ErrorTable.answerTo(expected).executionStarted() == ExecutionStarted.NO;
        assertThat(saysNotRun).isEqualTo(!failure.mayHaveRun());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptFailure.class,
            names = {"FAILED_ANSWER", "BROKEN", "SILENT"})
    void should_not_send_again_what_may_have_run_once(AttemptFailure failure) {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.AT_MOST_ONCE, false, 3);

        // WHEN
        life.attemptFailed(failure, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(1);
        assertThat(life.phase()).isEqualTo(RequestPhase.ENDED);
    }

    @ParameterizedTest
    @EnumSource(AttemptFailure.class)
    void should_send_an_idempotent_request_to_another_endpoint(AttemptFailure failure) {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.IDEMPOTENT, false, 2);

        // WHEN
        life.attemptFailed(failure, false);
        life.dispatched(TWO, false);

        // THEN
        assertThat(mRecorder.mExcluded).containsExactly(ONE);
        assertThat(mRecorder.sends()).isEqualTo(2);
    }

    @Test
    void should_send_to_no_more_endpoints_than_the_route_allows() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.IDEMPOTENT, false, 2);
        life.attemptFailed(AttemptFailure.BROKEN, false);
        life.dispatched(TWO, false);

        // WHEN
        life.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(2);
        assertThat(mRecorder.mCalls).contains("fail ENDPOINT_FAILED");
    }

    @Test
    void should_not_send_again_beyond_the_budget_of_retries() {
        // GIVEN
        mRecorder.mBudget = false;
        RequestStateMachine life = sent(RequestKind.IDEMPOTENT, false, 2);

        // WHEN
        life.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(1);
    }

    @Test
    void should_pass_on_the_endpoints_own_failure_when_nothing_better_comes() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.IDEMPOTENT, false, 2);
        life.attemptFailed(AttemptFailure.FAILED_ANSWER, true);

        // WHEN
        life.refused(ErrorKind.NO_ENDPOINT, 0);

        // THEN
        assertThat(mRecorder.mCalls).contains("pass kept").doesNotContain("fail NO_ENDPOINT");
    }

    @Test
    void should_cut_a_stream_that_broke_off_and_may_not_be_resumed() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.STREAM, false, 2);
        life.answerPassed();

        // WHEN
        life.attemptFailed(AttemptFailure.BROKEN, false);

        // THEN
        assertThat(mRecorder.mCalls).contains("abort");
        assertThat(mRecorder.sends()).isEqualTo(1);
    }

    @Test
    void should_resume_a_stream_that_broke_off_at_another_endpoint() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.STREAM, true, 2);
        life.answerPassed();
        life.attemptFailed(AttemptFailure.BROKEN, false);

        // WHEN
        life.dispatched(TWO, false);
        life.answerPassed();
        life.answerComplete();

        // THEN
        assertThat(mRecorder.sends()).isEqualTo(2);
        assertThat(mRecorder.mCalls).doesNotContain("abort");
    }

    @Test
    void should_say_that_a_request_that_waited_too_long_has_not_run() {
        // GIVEN
        RequestStateMachine life = life(RequestKind.AT_MOST_ONCE, false, 1, false);
        life.start();

        // WHEN
        life.timeIsOver();

        // THEN
        assertThat(mRecorder.mCalls).contains("withdraw", "fail DEADLINE_UNREACHABLE");
    }

    @Test
    void should_not_say_that_a_request_that_was_sent_has_not_run() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.AT_MOST_ONCE, false, 1);

        // WHEN
        life.timeIsOver();

        // THEN
        assertThat(mRecorder.mCalls).contains("end CANCELLED", "fail ANSWER_TIMEOUT");
    }

    @Test
    void should_end_the_attempt_of_a_caller_that_left() {
        // GIVEN
        RequestStateMachine life = sent(RequestKind.STREAM, true, 2);

        // WHEN
        life.callerLeft();

        // THEN
        assertThat(mRecorder.mCalls).contains("end CANCELLED").doesNotContain("abort");
    }

    @Test
    void should_give_tokens_back_that_are_granted_after_the_caller_left() {
        // GIVEN
        RequestStateMachine life = life(RequestKind.AT_MOST_ONCE, false, 1, true);
        life.start();
        life.callerLeft();

        // WHEN
        life.tokensGranted();

        // THEN
        assertThat(mRecorder.mCalls).contains("settle not run").doesNotContain("submit");
    }

    @Test
    void should_go_elsewhere_when_the_adapter_can_not_be_loaded() {
        // GIVEN
        RequestStateMachine life = life(RequestKind.STREAM, false, 1, false);
        life.start();
        life.dispatched(ONE, true);

        // WHEN
        life.attemptFailed(AttemptFailure.NOT_PREPARED, false);
        life.dispatched(TWO, false);

        // THEN
        assertThat(mRecorder.mCalls).contains("prepare one", "send two");
    }

    @ParameterizedTest
    @EnumSource(RequestPhase.class)
    void should_allow_only_the_listed_transitions(RequestPhase from) {
        assertThat(from.next()).doesNotContain(from, RequestPhase.NEW);
        assertThat(from == RequestPhase.ENDED).isEqualTo(from.next().isEmpty());
    }

    @Test
    void should_refuse_a_transition_that_is_not_listed() {
        RequestStateMachine life = life(RequestKind.STREAM, false, 1, false);
        life.start();
        assertThatThrownBy(life::start).isInstanceOf(IllegalStateException.class);
    }

    @Property(tries = 5_000, seed = "4711")
    void should_end_once_and_truly_whatever_happens(@ForAll long seed) {
        Random random = new Random(seed);
        Recorder recorder = new Recorder();
        RequestKind kind = RequestKind.values()[random.nextInt(3)];
        boolean resumable = kind == RequestKind.STREAM && random.nextBoolean();
        RequestStateMachine life =
                life(kind, resumable, 1 + random.nextInt(3), random.nextBoolean(), recorder);
        life.start();
        boolean ran = false;
        for (int step = 0; step < 40; step++) {
            boolean sent =
                    life.phase() == RequestPhase.SENT || life.phase() == RequestPhase.ANSWERING;
            ran |= step(life, random) && sent;
        }
        life.callerLeft();

        assertThat(recorder.mCalls).filteredOn("ended"::equals).hasSize(1);
        assertThat(recorder.answers()).isLessThanOrEqualTo(1);
        if (ran) {
            assertThat(recorder.mCalls)
                    .noneMatch(call -> call.startsWith("fail ") && saysNotRun(call));
        }
    }

    private static boolean saysNotRun(String call) {
        ErrorKind kind = ErrorKind.valueOf(call.substring("fail ".length()));
        return ErrorTable.answerTo(kind).executionStarted() == ExecutionStarted.NO;
    }

    /** Does something at random; returns whether it means that a sent request may have run. */
    private static boolean step(RequestStateMachine life, Random random) {
        EndpointName endpoint = EndpointName.of("endpoint-" + random.nextInt(4));
        switch (random.nextInt(9)) {
            case 0 -> life.tokensGranted();
            case 1 -> life.tokensRefused(ErrorKind.RATE_EXCEEDED, 100);
            case 2, 3 -> life.dispatched(endpoint, random.nextInt(4) == 0);
            case 4 -> life.prepared();
            case 5 -> life.answerPassed();
            case 6 -> {
                AttemptFailure failure =
                        AttemptFailure.values()[random.nextInt(AttemptFailure.values().length)];
                life.attemptFailed(failure, false);
                return failure.mayHaveRun();
            }
            case 7 -> {
                if (random.nextInt(4) == 0) {
                    life.timeIsOver();
                    return true;
                }
            }
            default -> life.refused(ErrorKind.OVERLOADED, 0);
        }
        return false;
    }

    private RequestStateMachine sent(RequestKind kind, boolean resumable, int endpoints) {
        RequestStateMachine life = life(kind, resumable, endpoints, false);
        life.start();
        life.dispatched(ONE, false);
        return life;
    }

    private RequestStateMachine life(
            RequestKind kind, boolean resumable, int endpoints, boolean limited) {
        return life(kind, resumable, endpoints, limited, mRecorder);
    }

    private RequestStateMachine life(
            RequestKind kind,
            boolean resumable,
            int endpoints,
            boolean limited,
            Recorder recorder) {
        return new RequestStateMachine(
                terms(kind, resumable, endpoints, limited),
                service -> recorder.mBudget,
                mClock,
                recorder,
                recorder);
    }

    static ResolvedRequest terms(
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
        RequestMetadata facts =
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
                "run", facts, route, "service", account, 0, TIME_MILLISECONDS, limited ? 5 : 0);
    }

    private static final class Recorder implements RequestOutbox, RequestListener {
        private final List<String> mCalls = new ArrayList<>();
        private Set<EndpointName> mExcluded = Set.of();
        private boolean mBudget = true;

        private long sends() {
            return mCalls.stream().filter(call -> call.startsWith("send ")).count();
        }

        private long answers() {
            return mCalls.stream()
                    .filter(
                            call ->
                                    call.startsWith("fail ")
                                            || call.equals("abort")
                                            || call.equals("pass kept"))
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
        public void submit(Set<EndpointName> excluded, boolean begun) {
            mExcluded = excluded;
            mCalls.add("submit");
        }

        @Override
        public void withdraw() {
            mCalls.add("withdraw");
        }

        @Override
        public void prepare(EndpointName endpoint) {
            mCalls.add("prepare " + endpoint);
        }

        @Override
        public void send(EndpointName endpoint) {
            mCalls.add("send " + endpoint);
        }

        @Override
        public void endAttempt(AttemptOutcome end) {
            mCalls.add("end " + end);
        }

        @Override
        public void passKeptAnswer() {
            mCalls.add("pass kept");
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

        @Override
        public void sent(ResolvedRequest terms, EndpointName endpoint, int endpointsTried) {}

        @Override
        public void attemptFailed(
                ResolvedRequest terms,
                EndpointName endpoint,
                AttemptFailure failure,
                boolean again) {}

        @Override
        public void answered(ResolvedRequest terms, EndpointName endpoint) {}

        @Override
        public void failed(
                ResolvedRequest terms,
                RequestPhase phase,
                ErrorKind kind,
                boolean mayHaveRun,
                boolean keptAnswer) {}

        @Override
        public void callerLeft(ResolvedRequest terms, RequestPhase phase) {}
    }
}
