package org.foxtailridge.endtoend.harness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Nodes and workers as processes of their own, with a route whose streams may be resumed and one
 * whose streams may not.
 *
 * <pre>{@code
 * try (RawStreamFleet fleet = RawStreamFleet.start()) {
 *     fleet.prepare(2);
 *     fleet.workers().setScript(answer -> answer.worker().kill());
 *     RawCaller.of(fleet.node(0), RawStreamFleet.RESUMABLE, "lot 7").call().join();
 * }
 * }</pre>
 */
public final class RawStreamFleet implements AutoCloseable {
    /** Target of the route whose streams may be resumed. */
    public static final String RESUMABLE = "/raw/lots";

    /** Target of the route whose streams may not be resumed. */
    public static final String NOT_RESUMABLE = "/raw-once/lots";

    private static final String SERVICE = "raw";
    // Each stream allows a share of a retry.
    private static final int STREAMS_FOR_RETRIES = 12;
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private final PlatformFleet mFleet;
    private final RawWorkers mWorkers;
    private final AtomicInteger mBodies = new AtomicInteger();

    private RawStreamFleet() throws IOException {
        mFleet = PlatformFleet.start();
        mFleet.store().publish(PlatformFleet.configurationWithStreams(2, SERVICE).toJson());
        mWorkers = RawWorkers.of(SERVICE, mFleet.store());
    }

    /** Starts three nodes and no worker. */
    public static RawStreamFleet start() throws IOException {
        return new RawStreamFleet();
    }

    /** Replaces processes that have ended, and returns when all nodes know so many workers. */
    public void prepare(int workers) {
        for (int index = 0; index < mFleet.nodes().size(); index++) {
            if (!node(index).isAlive()) {
                mFleet.restart(index);
                mFleet.awaitReady(node(index));
            }
        }
        List<RawWorker> started = mWorkers.replaceEnded(workers);
        for (RawWorker worker : started) {
            for (PlatformNodeProcess node : mFleet.nodes()) {
                await().atMost(PATIENCE)
                        .pollDelay(Duration.ZERO)
                        .pollInterval(POLL)
                        .until(() -> node.lines().contains("\"" + worker.id() + "\""));
            }
        }
        mWorkers.setScript(answer -> ScriptedStream.of(answer, AnswerFraming.CHUNKED, 1).whole());
        List<Supplier<Boolean>> streams = new ArrayList<>();
        for (PlatformNodeProcess node : mFleet.nodes()) {
            for (int number = 0; number < STREAMS_FOR_RETRIES; number++) {
                CompletableFuture<ReceivedStream> stream = openSound(node);
                streams.add(() -> stream.join().status() == 200 || isServed(node));
            }
        }
        assertThat(streams).as("sound streams").allMatch(Supplier::get);
    }

    private CompletableFuture<ReceivedStream> openSound(PlatformNodeProcess node) {
        return RawCaller.of(node, RESUMABLE, newBody()).call();
    }

    /** Waits until a node has the configuration and knows a worker. */
    private boolean isServed(PlatformNodeProcess node) {
        await().atMost(PATIENCE).until(() -> openSound(node).join().status() == 200);
        return true;
    }

    /** Returns a body that no other request has. */
    public String newBody() {
        return "lot " + mBodies.incrementAndGet();
    }

    public RawWorkers workers() {
        return mWorkers;
    }

    /** Returns a node by its number. */
    public PlatformNodeProcess node(int index) {
        return mFleet.node(index);
    }

    /** Starts a node that has ended, and returns when it is ready. */
    public void restart(int index) {
        mFleet.restart(index);
        mFleet.awaitReady(node(index));
    }

    /** Returns the number of nodes. */
    public int nodes() {
        return mFleet.nodes().size();
    }

    /**
     * Checks rule ORDER: a complete stream has each event once, in order, to the last; any other
     * has the first of them.
     */
    public static void assertOrder(ReceivedStream stream, List<String> expected) {
        if (stream.status() != 200) {
            return;
        }
        List<String> events = stream.events();
        if (stream.complete()) {
            assertThat(events).as("events of a complete stream").isEqualTo(expected);
            assertThat(stream.rest()).as("bytes behind the last event").isEmpty();
        } else {
            int count = Math.min(events.size(), expected.size());
            assertThat(events)
                    .as("events of a stream that was broken off")
                    .isEqualTo(expected.subList(0, count));
        }
    }

    @Override
    public void close() throws IOException {
        mWorkers.close();
        mFleet.close();
    }
}
