package org.foxtailridge.endtoend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.foxtailridge.endtoend.harness.CallerAnswer;
import org.foxtailridge.endtoend.harness.PlatformFleet;
import org.foxtailridge.endtoend.harness.PlatformNodeProcess;
import org.foxtailridge.standins.platform.OperatorConfiguration;
import org.foxtailridge.standins.platform.WorkerExecution;
import org.foxtailridge.standins.platform.WorkerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that a stopping node passes on although they cannot end before its
 * process, and against connections that it closes without an answer.
 */
class RequestsAtNodeStopTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(12);
    private static final Duration STOP_TIME = Duration.ofSeconds(8);
    private static final Duration PAUSE = Duration.ofMillis(2_500);
    private static final int CALLERS = 8;
    private static final int SOCKET_TIMEOUT_MILLISECONDS = 20_000;

    private PlatformFleet mFleet;
    private WorkerStandin mWorker;

    @BeforeEach
    void start() throws IOException {
        mFleet = PlatformFleet.start();
    }

    @AfterEach
    void stop() {
        if (mWorker != null) {
            mWorker.close();
        }
        mFleet.close();
    }

    @Test
    void should_answer_a_call_that_is_still_running_at_the_end_of_the_stop() {
        // GIVEN
        startVault(4, Duration.ofSeconds(11));
        List<CompletableFuture<CallerAnswer>> calls = call(mFleet.node(1), 3);
        await().atMost(PATIENCE).until(() -> mWorker.executions().size() == 3);
        // WHEN
        mFleet.node(1).terminate();
        // THEN
        assertThat(statusesOf(calls)).containsOnly(504);
    }

    @Test
    void should_end_in_time_when_it_stood_still_while_the_signal_was_sent() throws Exception {
        // GIVEN
        startVault(4, Duration.ofSeconds(11));
        PlatformNodeProcess node = mFleet.node(1);
        List<CompletableFuture<CallerAnswer>> calls = call(node, 1);
        await().atMost(PATIENCE).until(() -> mWorker.executions().size() == 1);
        // WHEN
        node.pause();
        node.terminate();
        TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
        node.resume();
        // THEN the call is answered before the platform would kill the process
        assertThat(calls.get(0))
                .succeedsWithin(STOP_TIME.minus(PAUSE))
                .extracting(CallerAnswer::status)
                .isEqualTo(504);
    }

    @Test
    void should_not_cut_a_stream_that_waits_in_the_queue_of_a_stopping_node() throws IOException {
        // GIVEN an engine that runs one stream at a time, each for 2 s
        startChoir();
        PlatformNodeProcess node = mFleet.node(1);
        assertThat(mFleet.stream(node, "c1", "before").join().status()).isEqualTo(200);
        try (Socket unfinished = sendHalf(node)) {
            // WHEN the second stream could end in time only without the first one
            node.terminate();
            List<CompletableFuture<CallerAnswer>> streams =
                    Stream.of(4_300, 4_900)
                            .map(delay -> streamAfter(node, Duration.ofMillis(delay)))
                            .toList();
            // THEN
            assertThat(statusesOf(streams)).containsOnly(200, 503);
            assertThat(unfinished.isClosed()).isFalse();
        }
    }

    @Test
    void should_refuse_a_request_whose_body_is_incomplete_at_the_end_of_the_stop()
            throws IOException {
        // GIVEN
        try (Socket caller = sendHalf(mFleet.node(1))) {
            // WHEN
            mFleet.node(1).terminate();
            // THEN
            String answer = new String(caller.getInputStream().readAllBytes(), US_ASCII);
            assertThat(answer).startsWith("HTTP/1.1 503 ").containsIgnoringCase("retry-after: ");
        }
    }

    @Test
    void should_answer_every_call_that_it_passes_on_while_callers_use_it_to_the_end()
            throws Exception {
        // GIVEN callers that keep their connections open
        startVault(16, Duration.ofMillis(50));
        PlatformNodeProcess node = mFleet.node(1);
        Set<String> unanswered = ConcurrentHashMap.newKeySet();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        for (int caller = 0; caller < CALLERS; caller++) {
            String name = "caller " + caller;
            callers.submit(() -> callUntilItIsGone(node, name, unanswered));
        }
        await().atMost(PATIENCE).until(() -> mWorker.executions().size() > CALLERS);
        // WHEN
        node.terminate();
        node.waitForExit();
        callers.shutdown();
        // THEN
        assertThat(callers.awaitTermination(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isTrue();
        assertThat(mWorker.executions())
                .extracting(WorkerExecution::body)
                .noneMatch(unanswered::contains);
    }

    private void callUntilItIsGone(
            PlatformNodeProcess node, String caller, Set<String> unanswered) {
        int number = 0;
        while (node.isAlive()) {
            String body = caller + " call " + number++;
            CompletableFuture<CallerAnswer> answer =
                    mFleet.call(
                            node,
                            "POST",
                            "/vault/lot",
                            PlatformFleet.KEY,
                            body,
                            Duration.ofSeconds(1));
            if (statusesOf(List.of(answer)).contains(0)) {
                unanswered.add(body);
            }
        }
    }

    private void startVault(int slots, Duration answerTime) {
        mWorker =
                WorkerStandin.builder("i-vault", "vault", "nadi-b", mFleet.store())
                        .slots(slots)
                        .answerTime(answerTime)
                        .start();
        publish(
                PlatformFleet.configuration(2)
                        .service("vault", 100)
                        .route("127.0.0.1", "/vault/", "vault", "unsafe", CALL_TIMEOUT, 2),
                "i-vault");
    }

    private void startChoir() {
        mWorker =
                WorkerStandin.builder("i-choir", "choir", "nadi-b", mFleet.store())
                        .model("c1")
                        .slots(1)
                        .streams(20, Duration.ofMillis(100))
                        .start();
        publish(
                OperatorConfiguration.builder(2)
                        .engines("choir", 1, List.of("c1"))
                        .route("127.0.0.1", "/stream/", "choir", "streaming", CALL_TIMEOUT, 2)
                        .account("auctions", 0, PlatformFleet.KEY),
                "i-choir");
    }

    private void publish(OperatorConfiguration configuration, String worker) {
        mFleet.store().publish(configuration.toJson());
        await().atMost(PATIENCE)
                .until(
                        () ->
                                mFleet.node(1).lines().contains(worker)
                                        && mFleet.node(1).lines().contains("\"version\":2"));
    }

    private List<CompletableFuture<CallerAnswer>> call(PlatformNodeProcess node, int count) {
        List<CompletableFuture<CallerAnswer>> calls = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            calls.add(
                    mFleet.call(
                            node,
                            "POST",
                            "/vault/lot",
                            PlatformFleet.KEY,
                            "call " + number,
                            CALL_TIMEOUT));
        }
        return calls;
    }

    /** Sends a request without the end of its body, which keeps a stopping node from its exit. */
    private static Socket sendHalf(PlatformNodeProcess node) throws IOException {
        URI address = URI.create(node.callers());
        Socket caller = new Socket(address.getHost(), address.getPort());
        caller.setSoTimeout(SOCKET_TIMEOUT_MILLISECONDS);
        String request =
                "POST /unsafe/lot HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: half\r\n"
                        + "Authorization: Bearer "
                        + PlatformFleet.KEY
                        + "\r\nContent-Length: 10\r\n\r\nhalf";
        caller.getOutputStream().write(request.getBytes(US_ASCII));
        return caller;
    }

    private CompletableFuture<CallerAnswer> streamAfter(PlatformNodeProcess node, Duration delay) {
        Executor delayed =
                CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> "after " + delay, delayed)
                .thenCompose(body -> mFleet.stream(node, "c1", body));
    }

    /** Returns the status of each answer; 0 for a connection that ended without a whole one. */
    private static List<Integer> statusesOf(List<CompletableFuture<CallerAnswer>> answers) {
        return answers.stream()
                .map(answer -> answer.thenApply(CallerAnswer::status).exceptionally(cut -> 0))
                .map(CompletableFuture::join)
                .toList();
    }
}
