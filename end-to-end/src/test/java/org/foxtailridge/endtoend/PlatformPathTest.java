package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.PlatformFleet;
import org.foxtailridge.endtoend.harness.PlatformNodeProcess;
import org.foxtailridge.standins.platform.WorkerExecution;
import org.foxtailridge.standins.platform.WorkerFaults;
import org.foxtailridge.standins.platform.WorkerStandin;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of callers through real nodes on the platform, with workers that fail. */
class PlatformPathTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static PlatformFleet sFleet;

    @BeforeAll
    static void start() throws IOException {
        sFleet = PlatformFleet.start();
    }

    @AfterAll
    static void stop() {
        sFleet.close();
    }

    @AfterEach
    void mendWorkers() {
        sFleet.desks().forEach(desk -> desk.setFaults(WorkerFaults.none()));
        sFleet.engines().forEach(engine -> engine.setFaults(WorkerFaults.none()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void should_return_the_whole_answer_of_a_worker_through_each_node(int index) {
        // GIVEN
        PlatformNodeProcess node = sFleet.node(index);
        String body = "bid of node " + index;
        // WHEN
        CallerAnswer call =
                sFleet.call(node, "POST", "/unsafe/bids?lot=7", PlatformFleet.KEY, body).join();
        CallerAnswer stream = sFleet.stream(node, "m1", body).join();
        // THEN
        assertThat(call.status()).isEqualTo(200);
        assertThat(call.body()).isEqualTo(WorkerStandin.textOf("POST", "/unsafe/bids?lot=7", body));
        assertThat(call.headers()).containsKey("x-response-seal");
        assertThat(stream.body()).isEqualTo(WorkerStandin.eventsOf(body, 0, PlatformFleet.EVENTS));
    }

    @Test
    void should_hand_the_account_and_never_the_key_to_a_worker() {
        // WHEN
        sFleet.call(sFleet.node(0), "POST", "/unsafe/account", PlatformFleet.KEY, "whose").join();
        // THEN
        List<WorkerExecution> seen =
                sFleet.desks().stream()
                        .flatMap(desk -> desk.executions().stream())
                        .filter(execution -> execution.target().equals("/unsafe/account"))
                        .toList();
        assertThat(seen).hasSize(1);
        assertThat(seen.get(0).account()).contains("auctions");
        assertThat(seen.get(0).credentialsSeen()).isFalse();
        assertThat(seen.get(0).leftMilliseconds().orElseThrow()).isBetween(1L, 15_000L);
    }

    @ParameterizedTest(name = "{0} with {1}: {2}")
    @CsvSource({
        "/unsafe/refused, nobody, 401",
        "/unsafe/refused, '', 401",
        "/nowhere/refused, key-of-auctions, 404"
    })
    void should_refuse_without_running(String target, String key, int status) {
        // WHEN
        CallerAnswer answer =
                sFleet.call(sFleet.node(0), "POST", target, key, "to be refused").join();
        // THEN
        assertThat(answer.status()).isEqualTo(status);
        assertThat(sFleet.executionsOf("to be refused")).isZero();
    }

    @Test
    void should_refuse_a_body_above_the_limit_with_an_answer_that_can_be_read() {
        // WHEN
        CallerAnswer answer =
                sFleet.call(
                                sFleet.node(0),
                                "POST",
                                "/unsafe/large",
                                PlatformFleet.KEY,
                                "x".repeat(5_000_000))
                        .join();
        // THEN
        assertThat(answer.status()).isEqualTo(413);
    }

    @Test
    void should_go_on_at_another_worker_behind_the_last_event_when_a_stream_breaks_off() {
        // GIVEN
        sFleet.engines().get(0).setFaults(WorkerFaults.none().withCutInsideAnswer(1));
        for (int number = 0; runsOf("stream " + (number - 1)) != 2; number++) {
            String body = "stream " + number;
            // WHEN
            CallerAnswer answer = sFleet.stream(sFleet.node(0), "m1", body).join();
            // THEN
            assertThat(answer.body())
                    .isEqualTo(WorkerStandin.eventsOf(body, 0, PlatformFleet.EVENTS));
            assertThat(number).as("streams until one meets the faulty worker").isLessThan(100);
        }
    }

    @Test
    void should_not_end_a_stream_with_the_error_of_the_worker_that_was_to_go_on() {
        // GIVEN a worker that breaks streams off and one that rejects to go on with them
        sFleet.engines().get(0).setFaults(WorkerFaults.none().withCutInsideAnswer(1));
        sFleet.engines().get(1).setFaults(WorkerFaults.none().withRejecting(1));
        for (int number = 0; runsOf("rejected " + (number - 1)) != 2; number++) {
            String body = "rejected " + number;
            // WHEN
            CompletableFuture<CallerAnswer> answer = sFleet.stream(sFleet.node(0), "m1", body);
            answer.exceptionally(brokenOff -> null).join();
            // THEN it is broken off or whole, and never complete with something else
            if (!answer.isCompletedExceptionally()) {
                assertThat(answer.join().body())
                        .isEqualTo(WorkerStandin.eventsOf(body, 0, PlatformFleet.EVENTS));
            }
            assertThat(number).as("streams until one meets the faulty worker").isLessThan(100);
        }
    }

    @Test
    void should_try_another_worker_when_one_is_full_and_run_once() {
        // GIVEN
        sFleet.desks().get(0).setFaults(WorkerFaults.none().withFull(1));
        // WHEN
        CallerAnswer answer =
                sFleet.call(sFleet.node(0), "POST", "/unsafe/full", PlatformFleet.KEY, "once")
                        .join();
        // THEN
        assertThat(answer.status()).isEqualTo(200);
        assertThat(sFleet.executionsOf("once")).isEqualTo(1);
    }

    @Test
    void should_not_promise_that_a_call_has_not_run_when_its_answer_is_lost() {
        // GIVEN
        sFleet.desks().forEach(d -> d.setFaults(WorkerFaults.none().withCutBeforeAnswer(1)));
        // WHEN
        CallerAnswer answer =
                sFleet.call(sFleet.node(0), "POST", "/unsafe/lost", PlatformFleet.KEY, "lost")
                        .join();
        // THEN
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.ran()).isEqualTo("unknown");
        assertThat(sFleet.executionsOf("lost")).isEqualTo(1);
    }

    @Test
    void should_never_pass_on_the_answer_of_another_request() {
        // GIVEN
        sFleet.desks().forEach(desk -> desk.setFaults(WorkerFaults.none().withCrossed(1)));
        // WHEN
        CallerAnswer answer =
                sFleet.call(
                                sFleet.node(0),
                                "POST",
                                "/unsafe/crossed",
                                PlatformFleet.KEY,
                                "own",
                                Duration.ofSeconds(1))
                        .join();
        // THEN
        assertThat(answer.status()).isEqualTo(504);
        assertThat(answer.ran()).isEqualTo("unknown");
        assertThat(answer.headers()).doesNotContainKey("x-response-seal");
        assertThat(sFleet.executionsOf("own")).isEqualTo(1);
    }

    @Test
    void should_have_a_model_loaded_that_no_worker_holds() {
        // WHEN
        await().atMost(PATIENCE)
                .until(() -> sFleet.stream(sFleet.node(1), "m3", "rare").join().status() == 200);
        // THEN
        assertThat(sFleet.engines()).anyMatch(engine -> engine.models().contains("m3"));
        // Three models of 60 GB fit beside each other into the 200 GB of a worker.
        assertThat(sFleet.engines()).allMatch(engine -> engine.peakModels() <= 3);
    }

    @Test
    void should_hold_an_account_to_its_limit_over_all_nodes() {
        // GIVEN
        int tokens = 100;
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        Clock clock = MonotonicClock.start();
        long began = clock.millis();
        // WHEN
        for (int number = 0; number < 60; number++) {
            answers.add(
                    sFleet.stream(
                            sFleet.node(number % 3),
                            "m1",
                            "limited " + number,
                            PlatformFleet.LIMITED_KEY,
                            tokens));
        }
        long refused =
                answers.stream()
                        .map(CompletableFuture::join)
                        .filter(a -> a.status() == 429)
                        .count();
        double seconds = (clock.millis() - began) / 1_000.0;
        // THEN
        long run =
                sFleet.engines().stream()
                        .flatMap(engine -> engine.executions().stream())
                        .filter(execution -> execution.body().startsWith("limited "))
                        .count();
        assertThat(run).isEqualTo(60 - refused);
        // The burst, and what the rate allows until the last answer; usually less than a second's.
        assertThat((double) run * tokens)
                .isLessThanOrEqualTo(PlatformFleet.LIMIT * (1 + Math.max(1, seconds)));
        assertThat(run).isPositive();
    }

    private static long runsOf(String body) {
        return sFleet.engines().stream()
                .flatMap(engine -> engine.executions().stream())
                .filter(execution -> execution.body().equals(body))
                .count();
    }
}
