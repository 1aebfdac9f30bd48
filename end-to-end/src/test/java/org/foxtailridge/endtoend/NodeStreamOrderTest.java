package org.foxtailridge.endtoend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.foxtailridge.endtoend.harness.AnswerFraming;
import org.foxtailridge.endtoend.harness.PlatformNodeProcess;
import org.foxtailridge.endtoend.harness.RawCaller;
import org.foxtailridge.endtoend.harness.RawStreamFleet;
import org.foxtailridge.endtoend.harness.RawWorker;
import org.foxtailridge.endtoend.harness.ReceivedStream;
import org.foxtailridge.endtoend.harness.ScriptedStream;
import org.foxtailridge.endtoend.harness.StreamFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Streams of nodes that are killed, frozen or stopped, and of callers that hold them up. */
class NodeStreamOrderTest {
    private static final int WORKERS = 2;
    private static final int CALLERS = 6;
    private static final int EVENTS = 40;
    private static final long PAUSE_MILLISECONDS = 50;
    private static final long PAUSE_BEYOND_SHORT_STOP_MILLISECONDS = 150;
    private static final long UNDER_WAY_MILLISECONDS = 600;
    private static final long FROZEN_MILLISECONDS = 3_000;
    private static final int GAP_MILLISECONDS = 1_000;
    private static final int SHORT_STOP_MILLISECONDS = 1_000;
    private static final int LARGE_EVENT_CHARACTERS = 100_000;
    private static final long SLOW_MILLISECONDS = 1_500;
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static RawStreamFleet sFleet;

    private final List<String> mBodies = new ArrayList<>();

    /** What happens to a node while it forwards streams. */
    private enum Disturbance {
        KILLED {
            @Override
            void apply(PlatformNodeProcess node) {
                node.kill();
            }
        },
        FROZEN {
            @Override
            void apply(PlatformNodeProcess node) {
                node.freeze();
                ScriptedStream.pause(FROZEN_MILLISECONDS);
                node.thaw();
            }
        },
        STOPPED {
            @Override
            void apply(PlatformNodeProcess node) {
                node.terminate();
                node.waitForExit();
            }
        },
        STOPPED_AT_SHORT_NOTICE {
            @Override
            void apply(PlatformNodeProcess node) {
                node.changeStopTime(SHORT_STOP_MILLISECONDS, true);
                String inForce = "\"stop_ms\":" + SHORT_STOP_MILLISECONDS;
                await().atMost(PATIENCE).until(() -> node.lines().contains(inForce));
                STOPPED.apply(node);
            }
        };

        abstract void apply(PlatformNodeProcess node);

        boolean cutsStreams() {
            return this == KILLED || this == STOPPED_AT_SHORT_NOTICE;
        }

        /** Returns the time between events with which streams are still under way at the end. */
        long pauseMilliseconds() {
            return this == STOPPED_AT_SHORT_NOTICE
                    ? PAUSE_BEYOND_SHORT_STOP_MILLISECONDS
                    : PAUSE_MILLISECONDS;
        }
    }

    @BeforeAll
    static void start() throws IOException {
        sFleet = RawStreamFleet.start();
    }

    @AfterAll
    static void stop() throws IOException {
        sFleet.close();
    }

    @BeforeEach
    void prepare() {
        sFleet.prepare(WORKERS);
        for (int number = 0; number < CALLERS; number++) {
            mBodies.add(sFleet.newBody());
        }
    }

    // Guards against callers that lose or repeat an event when they go on at another node.
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void should_go_on_at_another_node_behind_the_last_event(Disturbance disturbance) {
        // GIVEN
        writeStreams(disturbance);
        List<CompletableFuture<ReceivedStream>> streams = new ArrayList<>();
        for (String body : mBodies) {
            streams.add(caller(1, RawStreamFleet.RESUMABLE, body).giveUpAfter(gap(body)).call());
        }
        // WHEN
        ScriptedStream.pause(UNDER_WAY_MILLISECONDS);
        disturbance.apply(sFleet.node(1));
        // THEN
        for (int number = 0; number < CALLERS; number++) {
            String body = mBodies.get(number);
            ReceivedStream first = streams.get(number).join();
            RawStreamFleet.assertOrder(first, events(body));
            if (!first.complete()) {
                int received = first.events().size();
                ReceivedStream rest =
                        caller(2, RawStreamFleet.RESUMABLE, body)
                                .resumeAfter(received)
                                .call()
                                .join();
                RawStreamFleet.assertOrder(rest, events(body).subList(received, EVENTS));
                assertThat(rest.complete()).isTrue();
            }
        }
    }

    // Guards against streams that end as complete with the node that forwarded them.
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void should_not_complete_a_chunked_stream_that_a_node_cut(Disturbance disturbance) {
        // WHEN
        List<ReceivedStream> streams = receiveDuring(disturbance, false);
        // THEN
        assertOrder(streams);
        assertThat(streams).allMatch(stream -> stream.complete() != disturbance.cutsStreams());
    }

    @ParameterizedTest
    @EnumSource(names = {"FROZEN", "STOPPED"})
    void should_complete_a_stream_without_chunks_of_a_node_that_goes_on(Disturbance disturbance) {
        // WHEN
        List<ReceivedStream> streams = receiveDuring(disturbance, true);
        // THEN
        assertOrder(streams);
        assertThat(streams).allMatch(ReceivedStream::complete);
    }

    // Guards against connections to old callers that the end of the grace period, or of the
    // process, closes in an orderly way, which to the caller is the end of a complete stream.
    @ParameterizedTest
    @EnumSource(names = {"KILLED", "STOPPED_AT_SHORT_NOTICE"})
    void should_not_complete_a_stream_without_chunks_that_a_node_cut(Disturbance disturbance) {
        // WHEN
        List<ReceivedStream> streams = receiveDuring(disturbance, true);
        // THEN
        assertOrder(streams);
    }

    // Guards against streams that end as complete for callers that know no chunks.
    @ParameterizedTest(name = "{0}, {1}")
    @CsvSource({
        "KILLED_BETWEEN_EVENTS, /raw/lots", "KILLED_BETWEEN_EVENTS, /raw-once/lots",
        "KILLED_INSIDE_EVENT, /raw/lots", "KILLED_INSIDE_EVENT, /raw-once/lots",
        "KILLED_BEHIND_HEAD, /raw/lots", "KILLED_BEHIND_HEAD, /raw-once/lots",
        "RESET_BETWEEN_EVENTS, /raw/lots", "RESET_BETWEEN_EVENTS, /raw-once/lots",
        "NONE, /raw/lots", "NONE, /raw-once/lots"
    })
    void should_not_complete_a_stream_without_chunks_that_a_worker_cut(
            StreamFault fault, String target) {
        // GIVEN
        String body = mBodies.get(0);
        sFleet.workers().setScript(fault.script(AnswerFraming.CHUNKED));
        // WHEN
        ReceivedStream stream = caller(1, target, body).oldVersion().call().join();
        // THEN
        RawStreamFleet.assertOrder(stream, ScriptedStream.events(body, StreamFault.LAST, 0));
    }

    // Guards against events that are lost between a slow caller and a worker that is killed.
    @ParameterizedTest(name = "{0}, {1}")
    @CsvSource({
        "CHUNKED, /raw/lots", "CHUNKED, /raw-once/lots",
        "LENGTH, /raw/lots", "LENGTH, /raw-once/lots"
    })
    void should_keep_the_order_for_a_slow_caller_when_the_worker_is_killed(
            AnswerFraming framing, String target) {
        // GIVEN
        String body = mBodies.get(0);
        AtomicReference<RawWorker> running = new AtomicReference<>();
        sFleet.workers()
                .setScript(
                        answer -> {
                            running.compareAndSet(null, answer.worker());
                            ScriptedStream.of(answer, framing, EVENTS)
                                    .with(0, LARGE_EVENT_CHARACTERS)
                                    .whole();
                        });
        CompletableFuture<ReceivedStream> stream =
                caller(1, target, body).slow(SLOW_MILLISECONDS).call();
        // WHEN
        await().atMost(PATIENCE).until(() -> running.get() != null);
        ScriptedStream.pause(UNDER_WAY_MILLISECONDS);
        running.get().kill();
        // THEN
        RawStreamFleet.assertOrder(
                stream.join(), ScriptedStream.events(body, EVENTS, LARGE_EVENT_CHARACTERS));
    }

    // Guards against events that are lost between a slow caller and a node that ends.
    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void should_keep_the_order_for_a_slow_caller_when_the_node_ends(Disturbance disturbance) {
        // GIVEN
        sFleet.workers()
                .setScript(
                        answer ->
                                ScriptedStream.of(answer, AnswerFraming.CHUNKED, EVENTS)
                                        .with(0, LARGE_EVENT_CHARACTERS)
                                        .whole());
        List<CompletableFuture<ReceivedStream>> streams = new ArrayList<>();
        for (String body : mBodies) {
            RawCaller caller = caller(1, RawStreamFleet.RESUMABLE, body);
            streams.add(caller.slow(SLOW_MILLISECONDS).call());
        }
        // WHEN
        ScriptedStream.pause(UNDER_WAY_MILLISECONDS);
        disturbance.apply(sFleet.node(1));
        // THEN
        for (int number = 0; number < CALLERS; number++) {
            RawStreamFleet.assertOrder(
                    streams.get(number).join(),
                    ScriptedStream.events(mBodies.get(number), EVENTS, LARGE_EVENT_CHARACTERS));
        }
    }

    /** Returns what callers received that called a node before it was disturbed. */
    private List<ReceivedStream> receiveDuring(Disturbance disturbance, boolean oldVersion) {
        writeStreams(disturbance);
        List<CompletableFuture<ReceivedStream>> streams = new ArrayList<>();
        for (String body : mBodies) {
            RawCaller caller = caller(1, RawStreamFleet.NOT_RESUMABLE, body);
            streams.add((oldVersion ? caller.oldVersion() : caller).call());
        }
        ScriptedStream.pause(UNDER_WAY_MILLISECONDS);
        disturbance.apply(sFleet.node(1));
        return streams.stream().map(CompletableFuture::join).toList();
    }

    private void assertOrder(List<ReceivedStream> streams) {
        for (int number = 0; number < CALLERS; number++) {
            RawStreamFleet.assertOrder(streams.get(number), events(mBodies.get(number)));
        }
    }

    private void writeStreams(Disturbance disturbance) {
        sFleet.workers()
                .setScript(
                        answer ->
                                ScriptedStream.of(answer, AnswerFraming.CHUNKED, EVENTS)
                                        .with(disturbance.pauseMilliseconds(), 0)
                                        .whole());
    }

    /** Every other caller waits for a node that is frozen. */
    private int gap(String body) {
        return mBodies.indexOf(body) % 2 == 0 ? GAP_MILLISECONDS : (int) PATIENCE.toMillis();
    }

    private static List<String> events(String body) {
        return ScriptedStream.events(body, EVENTS, 0);
    }

    private static RawCaller caller(int node, String target, String body) {
        return RawCaller.of(sFleet.node(node), target, body);
    }
}
