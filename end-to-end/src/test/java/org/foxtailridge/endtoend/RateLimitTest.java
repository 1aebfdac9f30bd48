package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.CompletionBody;
import org.foxtailridge.endtoend.harness.Fleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keeps a client account within rate and burst over all nodes, also while nodes die or pause. */
class RateLimitTest {
    private static final long RATE = 200;
    private static final long BURST = 1000;
    private static final int REQUEST_TOKENS = 40;
    private static final int ROUNDS = 12;
    private static final int COPIES = 10;

    private final Clock mClock = MonotonicClock.start();
    private Fleet mFleet;
    private Instant mBegan;
    private long mServedBefore;

    @BeforeEach
    void start() {
        mFleet = Fleet.builder().nodes(3).engines(2).largePlan(RATE, BURST).start();
        mServedBefore = servedTokens();
        mBegan = mClock.instant();
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
    }

    @Test
    void should_admit_no_more_than_burst_and_rate_over_all_nodes() {
        // WHEN
        for (int round = 0; round < ROUNDS; round++) {
            sendToAllNodes(round);
        }
        // THEN
        assertWithinLimit();
    }

    @Test
    void should_stay_within_the_limit_while_nodes_are_killed_replaced_and_frozen() {
        // WHEN
        sendToAllNodes(0);
        mFleet.node(0).kill();
        sendToAllNodes(1);
        mFleet.replace(0);
        mFleet.node(1).freeze();
        for (int round = 2; round < ROUNDS; round++) {
            sendToAllNodes(round);
        }
        mFleet.node(1).thaw();
        await().until(() -> mFleet.client().status(mFleet.node(1)).path("ready").asBoolean());
        sendToAllNodes(ROUNDS);
        // THEN
        assertWithinLimit();
    }

    @Test
    void should_give_one_node_the_whole_rate_of_an_account_whose_callers_all_use_it() {
        // GIVEN
        sendUntilRefused();
        Instant from = mClock.instant();
        long before = servedTokens();
        // WHEN
        await().atMost(Duration.ofSeconds(60))
                .until(
                        () -> {
                            sendMany("shift");
                            return Duration.between(from, mClock.instant()).toSeconds() >= 6;
                        });
        // THEN
        double seconds = Duration.between(from, mClock.instant()).toMillis() / 1000.0;
        assertThat(servedTokens() - before).isGreaterThan((long) (RATE * (seconds - 3) / 2));
        assertWithinLimit();
    }

    private void sendUntilRefused() {
        await().atMost(Duration.ofSeconds(60)).until(() -> sendMany("drain").contains(429));
    }

    /** Sends requests to one node at the same time and returns the statuses of the answers. */
    private List<Integer> sendMany(String prompt) {
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        for (int copy = 0; copy < 2 * COPIES; copy++) {
            answers.add(send(0, prompt + " " + copy + " " + mClock.instant()));
        }
        return answers.stream()
                .map(CompletableFuture::join)
                .filter(answer -> answer != null)
                .map(CallerAnswer::status)
                .toList();
    }

    private void sendToAllNodes(int round) {
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        for (int node = 0; node < 3; node++) {
            for (int copy = 0; copy < COPIES; copy++) {
                answers.add(send(node, "round " + round + " copy " + copy + " node " + node));
            }
        }
        answers.forEach(answer -> answer.handle((done, failure) -> done).join());
    }

    private CompletableFuture<CallerAnswer> send(int node, String prompt) {
        return mFleet.client()
                .complete(
                        mFleet.node(node),
                        Fleet.LARGE_KEY,
                        CompletionBody.whole(prompt, REQUEST_TOKENS))
                .completeOnTimeout(null, 2, TimeUnit.SECONDS);
    }

    private void assertWithinLimit() {
        double seconds = Duration.between(mBegan, mClock.instant()).toMillis() / 1000.0;
        long allowed = BURST + (long) Math.ceil(RATE * seconds);
        assertThat(servedTokens() - mServedBefore).isPositive().isLessThanOrEqualTo(allowed);
    }

    /** Counts what the engines generated, by their own record. */
    private long servedTokens() {
        long tokens = 0;
        for (int engine = 0; engine < 2; engine++) {
            tokens +=
                    mFleet.engine(engine).executions().stream()
                            .mapToLong(execution -> execution.tokens())
                            .sum();
        }
        return tokens;
    }
}
