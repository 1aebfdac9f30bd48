package org.foxtailridge.execution.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks the decisions of one keeper, step by step. */
class ClaimKeeperTest {
    private static final ClientAccountName ACCOUNT = ClientAccountName.of("account");
    private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
    private static final long WINDOW_MILLISECONDS = 600_000;

    private final ManualClock mClock = ManualClock.at(START);
    private final FakeLog mLog = new FakeLog();
    private final ClaimKeeper mKeeper = keeper("node-1", 1);

    @Test
    void should_dispatch_only_after_its_claim_was_read_back() {
        // WHEN
        List<ClaimDecision> first = carryOut(mKeeper, mKeeper.callArrived(call(1, "key", "a")));
        List<ClaimDecision> second = read(mKeeper);
        // THEN
        assertThat(first).hasOnlyElementsOfType(ClaimDecision.Append.class);
        assertThat(second).containsExactly(new ClaimDecision.Dispatch(1));
    }

    @Test
    void should_put_many_claims_into_one_append() {
        // GIVEN
        carryOut(mKeeper, mKeeper.callArrived(call(0, "key-0", "a")));
        for (int call = 1; call < 100; call++) {
            mKeeper.callArrived(call(call, "key-" + call, "a"));
        }
        // WHEN
        mClock.advance(Duration.ofMillis(50));
        List<ClaimDecision> decisions = mKeeper.tick();
        // THEN
        assertThat(decisions).hasSize(1);
        assertThat(((ClaimDecision.Append) decisions.get(0)).payloads()).hasSize(99);
    }

    @Test
    void should_answer_a_repetition_on_another_node_with_the_first_answer() {
        // GIVEN
        serve(mKeeper, 1, "key", "booked");
        ClaimKeeper other = keeper("node-2", 2);
        read(other);
        // WHEN
        List<ClaimDecision> decisions = other.callArrived(call(7, "key", "a"));
        // THEN
        assertThat(decisions).hasSize(1);
        ClaimDecision.AnswerWith answer = (ClaimDecision.AnswerWith) decisions.get(0);
        assertThat(answer.answer().status()).isEqualTo(200);
        assertThat(answer.answer().body()).asString().isEqualTo("booked");
    }

    @Test
    void should_keep_keys_of_different_client_accounts_apart() {
        // GIVEN
        serve(mKeeper, 1, "key", "booked");
        ClaimCall call = new ClaimCall(2, ClientAccountName.of("other"), "key", "a");
        // WHEN
        carryOut(mKeeper, mKeeper.callArrived(call));
        mClock.advance(Duration.ofMillis(50));
        carryOut(mKeeper, mKeeper.tick());
        // THEN
        assertThat(read(mKeeper)).contains(new ClaimDecision.Dispatch(2));
    }

    @Test
    void should_refuse_the_same_key_with_another_request() {
        // GIVEN
        serve(mKeeper, 1, "key", "booked");
        // WHEN
        List<ClaimDecision> decisions = mKeeper.callArrived(call(2, "key", "b"));
        // THEN
        assertRefused(decisions, ErrorKind.IDEMPOTENCY_KEY_REUSED, ExecutionStarted.NO);
    }

    @Test
    void should_refuse_as_not_run_and_never_dispatch_when_the_log_is_too_slow() {
        // GIVEN
        List<ClaimDecision> appended = mKeeper.callArrived(call(1, "key", "a"));
        mClock.advance(Duration.ofSeconds(2));
        List<ClaimDecision> refused = mKeeper.tick();
        // WHEN the claim is stored after all
        carryOut(mKeeper, appended);
        List<ClaimDecision> late = new ArrayList<>(carryOut(mKeeper, read(mKeeper)));
        mClock.advance(Duration.ofSeconds(1));
        late.addAll(carryOut(mKeeper, mKeeper.tick()));
        // THEN it is released, and the next claim of the key wins
        assertRefused(refused, ErrorKind.CLAIM_UNAVAILABLE, ExecutionStarted.NO);
        assertThat(late).noneMatch(ClaimDecision.Dispatch.class::isInstance);
        read(mKeeper);
        mClock.advance(Duration.ofSeconds(1));
        carryOut(mKeeper, mKeeper.callArrived(call(2, "key", "a")));
        assertThat(read(mKeeper)).contains(new ClaimDecision.Dispatch(2));
    }

    @Test
    void should_say_unknown_when_the_node_of_the_first_call_left_no_outcome() {
        // GIVEN a node that dispatches and dies
        carryOut(mKeeper, mKeeper.callArrived(call(1, "key", "a")));
        assertThat(read(mKeeper)).contains(new ClaimDecision.Dispatch(1));
        ClaimKeeper successor = keeper("node-1", 2);
        read(successor);
        // WHEN
        mClock.advance(Duration.ofMinutes(2));
        List<ClaimDecision> decisions = successor.callArrived(call(1, "key", "a"));
        // THEN
        assertRefused(decisions, ErrorKind.OUTCOME_UNKNOWN, ExecutionStarted.UNKNOWN);
    }

    @Test
    void should_claim_again_for_a_waiting_call_when_the_first_was_not_started() {
        // GIVEN
        carryOut(mKeeper, mKeeper.callArrived(call(1, "key", "a")));
        read(mKeeper);
        mKeeper.callArrived(call(2, "key", "a"));
        mClock.advance(Duration.ofMillis(50));
        carryOut(mKeeper, mKeeper.dispatchEnded(1, new CallOutcome.NotStarted()));
        mClock.advance(Duration.ofMillis(50));
        // WHEN
        carryOut(mKeeper, read(mKeeper));
        // THEN
        assertThat(read(mKeeper)).containsExactly(new ClaimDecision.Dispatch(2));
    }

    @Test
    void should_say_in_progress_when_the_first_call_takes_too_long() {
        // GIVEN
        carryOut(mKeeper, mKeeper.callArrived(call(1, "key", "a")));
        read(mKeeper);
        mKeeper.callArrived(call(2, "key", "a"));
        // WHEN
        mClock.advance(Duration.ofSeconds(10));
        List<ClaimDecision> decisions = mKeeper.tick();
        // THEN
        assertRefused(decisions, ErrorKind.IN_PROGRESS, ExecutionStarted.UNKNOWN);
    }

    @Test
    void should_refuse_keys_older_than_the_window() {
        // GIVEN
        serve(mKeeper, 1, "key", "booked");
        mClock.advance(Duration.ofMillis(WINDOW_MILLISECONDS + 1));
        serve(mKeeper, 2, "another key", "booked");
        // WHEN
        List<ClaimDecision> decisions = mKeeper.callArrived(call(3, "key", "a"));
        // THEN
        assertRefused(decisions, ErrorKind.IDEMPOTENCY_KEY_EXPIRED, ExecutionStarted.NO);
    }

    @Test
    void should_refuse_an_old_time_ordered_key_that_a_new_node_has_never_seen() {
        // GIVEN a key made one second before the window
        serve(mKeeper, 1, "another key", "booked");
        long created = START.toEpochMilli() - WINDOW_MILLISECONDS - 1_000;
        String key = new UUID(created << 16 | 0x7000, 0x8000000000000001L).toString();
        // WHEN
        List<ClaimDecision> decisions = mKeeper.callArrived(call(2, key, "a"));
        // THEN
        assertRefused(decisions, ErrorKind.IDEMPOTENCY_KEY_EXPIRED, ExecutionStarted.NO);
    }

    @Test
    void should_not_repeat_an_answer_that_was_too_large_to_keep() {
        // GIVEN
        serve(mKeeper, 1, "key", "x".repeat(20_000));
        // WHEN
        List<ClaimDecision> decisions = mKeeper.callArrived(call(2, "key", "a"));
        // THEN
        assertRefused(decisions, ErrorKind.OUTCOME_UNKNOWN, ExecutionStarted.UNKNOWN);
    }

    @Test
    void should_bound_the_bytes_of_answers_and_never_run_a_call_again_for_it() {
        // GIVEN answers of 600 bytes, of which 1,000 bytes in all are kept
        ClaimKeeper small =
                ClaimKeeper.create(
                        ClaimSettings.builder(NodeName.of("node-3"), 3)
                                .maximumAnswerBytes(800)
                                .maximumKeptBytes(1_000)
                                .build(),
                        mClock);
        serve(small, 1, "first", "x".repeat(600));
        serve(small, 2, "second", "y".repeat(600));
        // WHEN
        List<ClaimDecision> first = small.callArrived(call(3, "first", "a"));
        List<ClaimDecision> second = small.callArrived(call(4, "second", "a"));
        // THEN
        assertThat(small.table().keptBytes()).isEqualTo(600);
        assertRefused(first, ErrorKind.OUTCOME_UNKNOWN, ExecutionStarted.UNKNOWN);
        assertThat(second).hasOnlyElementsOfType(ClaimDecision.AnswerWith.class);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"format\":2,\"type\":\"claim\",\"id\":\"i\",\"key\":\"k\"}",
                "{\"format\":1,\"type\":\"other\",\"id\":\"i\",\"key\":\"k\"}",
                "no json"
            })
    void should_refuse_all_calls_after_a_record_that_it_cannot_read(String payload) {
        // GIVEN
        mLog.append(List.of(payload), mClock.millis());
        read(mKeeper);
        // WHEN
        List<ClaimDecision> decisions = mKeeper.callArrived(call(1, "key", "a"));
        // THEN
        assertRefused(decisions, ErrorKind.CLAIM_UNAVAILABLE, ExecutionStarted.NO);
        assertThat(mKeeper.nextOffset()).isZero();
        assertThat(mKeeper.stoppedBy()).isPresent();
    }

    @Test
    void should_tolerate_unknown_fields() {
        // GIVEN
        mLog.append(
                List.of(
                        "{\"format\":1,\"type\":\"claim\",\"id\":\"i\",\"key\":\"k\","
                                + "\"fingerprint\":\"f\",\"newer\":true}"),
                mClock.millis());
        // WHEN
        read(mKeeper);
        // THEN
        assertThat(mKeeper.nextOffset()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(AppendResult.class)
    void should_append_a_claim_again_only_when_the_log_refused_it(AppendResult result) {
        // GIVEN
        mKeeper.callArrived(call(1, "key", "a"));
        // WHEN
        mKeeper.appendEnded(1, result);
        mClock.advance(Duration.ofMillis(500));
        List<ClaimDecision> decisions = mKeeper.tick();
        // THEN
        boolean again = decisions.stream().anyMatch(ClaimDecision.Append.class::isInstance);
        assertThat(again).isEqualTo(result == AppendResult.REFUSED);
    }

    @Test
    void should_bound_the_calls_that_it_holds() {
        // WHEN
        for (int call = 0; call < 200; call++) {
            mKeeper.callArrived(call(call, "key-" + call % 150, "a"));
        }
        // THEN
        assertThat(mKeeper.openCalls()).isEqualTo(100);
    }

    private ClaimKeeper keeper(String node, long incarnation) {
        ClaimSettings settings =
                ClaimSettings.builder(NodeName.of(node), incarnation)
                        .windowMilliseconds(WINDOW_MILLISECONDS)
                        .maximumCalls(100)
                        .build();
        return ClaimKeeper.create(settings, mClock);
    }

    private void serve(ClaimKeeper keeper, long id, String key, String body) {
        carryOut(keeper, keeper.callArrived(call(id, key, "a")));
        carryOut(keeper, read(keeper));
        mClock.advance(Duration.ofMillis(50));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        CallOutcome answered = new CallOutcome.Answered(200, List.of(), bytes);
        carryOut(keeper, keeper.dispatchEnded(id, answered));
        read(keeper);
        mClock.advance(Duration.ofMillis(50));
    }

    private List<ClaimDecision> carryOut(ClaimKeeper keeper, List<ClaimDecision> decisions) {
        for (ClaimDecision decision : decisions) {
            if (decision instanceof ClaimDecision.Append append) {
                mLog.append(append.payloads(), mClock.millis());
                keeper.appendEnded(append.append(), AppendResult.STORED);
            }
        }
        return decisions;
    }

    private List<ClaimDecision> read(ClaimKeeper keeper) {
        List<LogRecord> records = mLog.read(keeper.nextOffset(), 1_000);
        return keeper.recordsRead(records, keeper.nextOffset() + records.size());
    }

    private static ClaimCall call(long id, String key, String fingerprint) {
        return new ClaimCall(id, ACCOUNT, key, fingerprint);
    }

    private static void assertRefused(
            List<ClaimDecision> decisions, ErrorKind kind, ExecutionStarted ran) {
        assertThat(decisions).hasSize(1);
        ClaimDecision.Refuse refusal = (ClaimDecision.Refuse) decisions.get(0);
        assertThat(refusal.reason().kind()).isEqualTo(kind);
        assertThat(refusal.reason().answer().executionStarted()).isEqualTo(ran);
    }
}
