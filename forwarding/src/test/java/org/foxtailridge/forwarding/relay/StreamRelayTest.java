package org.foxtailridge.forwarding.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.stream.FakeLog;
import org.foxtailridge.forwarding.stream.FollowerTimings;
import org.foxtailridge.forwarding.stream.KeyedBatch;
import org.foxtailridge.forwarding.stream.KeyedLog;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.forwarding.stream.StreamListener;
import org.foxtailridge.forwarding.stream.StreamSource;
import org.foxtailridge.protocol.relay.RelayMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards nodes to which the log does not answer: edits and endpoints must reach them through other
 * nodes, also when messages are lost, and without load on the peers while the log answers.
 */
class StreamRelayTest {
    private static final int LOST_NODES = 6;

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(50));
    private final Map<NodeName, Node> mNodes = new LinkedHashMap<>();
    private final Deque<Runnable> mNetwork = new ArrayDeque<>();
    private final Random mLoss = new Random(3);
    private double mLossRate;

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 0.4})
    void should_bring_an_edit_to_a_node_without_the_log_within_two_seconds(double lost) {
        // GIVEN
        mLossRate = lost;
        Node served = node("served", KeyedStream.CONFIGURATION);
        Node unserved = node("turned-away", KeyedStream.CONFIGURATION);
        unserved.mLog.setUnavailable(true);
        byte[] large = new byte[60_000];
        new Random(1).nextBytes(large);

        // WHEN an edit is appended; 4 s are allowed when 40 % of the messages are lost
        served.mLog.append(KeyedRecord.of("configuration", large));
        run(lost > 0.3 ? 4_000 : 2_000);

        // THEN
        assertThat(unserved.mFollower.values()).containsKey("configuration");
        assertThat(unserved.mFollower.values().get("configuration")).isEqualTo(large);
    }

    @Test
    void should_not_fetch_from_peers_while_the_log_answers() {
        // GIVEN
        Node one = node("one", KeyedStream.ENDPOINTS);
        Node two = node("two", KeyedStream.ENDPOINTS);
        two.mLog = one.mLog;
        run(1_000);

        // WHEN
        one.mLog.append(KeyedRecord.of("endpoint", new byte[10]));
        run(3_000);

        // THEN
        assertThat(one.mPartsSent + two.mPartsSent).isZero();
    }

    @Test
    void should_bring_the_endpoints_to_a_node_that_starts_without_the_log() {
        // GIVEN
        Node old = node("old", KeyedStream.ENDPOINTS);
        old.mLog.append(KeyedRecord.of("endpoint", new byte[10]));
        run(500);
        old.mLog.setUnavailable(true);

        // WHEN
        Node fresh = node("fresh", KeyedStream.ENDPOINTS);
        fresh.mLog.setUnavailable(true);
        run(2_000);

        // THEN
        assertThat(fresh.mFollower.values()).containsKey("endpoint");
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_fetch_an_edit_from_the_node_that_announced_it(int seed) {
        // GIVEN one node that the log serves, one that it turns away, and nodes that are lost
        // without the others knowing yet
        mLoss.setSeed(seed);
        Node served = node("served-" + seed, KeyedStream.CONFIGURATION);
        Node unserved = node("turned-away-" + seed, KeyedStream.CONFIGURATION);
        unserved.mLog.setUnavailable(true);
        for (int lost = 0; lost < LOST_NODES; lost++) {
            node("lost-" + lost, KeyedStream.CONFIGURATION).mLost = true;
        }
        run(1_000);

        // WHEN
        served.mLog.append(KeyedRecord.of("configuration", new byte[10]));
        run(2_000);

        // THEN
        assertThat(unserved.mFollower.values()).containsKey("configuration");
    }

    private static IntStream seeds() {
        return IntStream.range(0, 50);
    }

    private Node node(String name, KeyedStream stream) {
        Node node = new Node(NodeName.of(name), stream);
        mNodes.put(node.mName, node);
        return node;
    }

    private void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 20) {
            mClock.advance(Duration.ofMillis(20));
            for (Node node : mNodes.values().stream().filter(each -> !each.mLost).toList()) {
                node.mFollower.tick();
                node.mRelay.tick();
            }
            List<Runnable> due = new ArrayList<>(mNetwork);
            mNetwork.clear();
            due.forEach(Runnable::run);
        }
    }

    private final class Node implements RelayOutbox, StreamListener {
        private final NodeName mName;
        private final StreamFollower mFollower;
        private final StreamRelay mRelay;
        private FakeLog mLog = new FakeLog();
        private int mPartsSent;
        private boolean mLost;

        private Node(NodeName name, KeyedStream stream) {
            mName = name;
            mFollower =
                    new StreamFollower(
                            stream,
                            new KeyedLog() {
                                @Override
                                public CompletableFuture<KeyedBatch> newest(
                                        KeyedStream requestedStream) {
                                    return mLog.newest(requestedStream);
                                }

                                @Override
                                public CompletableFuture<KeyedBatch> read(
                                        KeyedStream requestedStream, long from, Duration wait) {
                                    return mLog.read(requestedStream, from, wait);
                                }

                                @Override
                                public CompletableFuture<Void> put(
                                        KeyedStream requestedStream, KeyedRecord entry) {
                                    return mLog.put(requestedStream, entry);
                                }
                            },
                            new FollowerTimings(
                                    Duration.ZERO, Duration.ofMillis(300), Duration.ofMillis(200)),
                            mClock,
                            this);
            mRelay =
                    new StreamRelay(
                            RelaySettings.defaults(),
                            mClock,
                            new SplittableRandom(name.hashCode()),
                            this,
                            List.of(mFollower));
        }

        @Override
        public void send(NodeName receiver, RelayMessage message) {
            mPartsSent += message.hasPart() ? 1 : 0;
            if (!mNodes.get(receiver).mLost && mLoss.nextDouble() >= mLossRate) {
                mNetwork.add(() -> mNodes.get(receiver).mRelay.receive(mName, message));
            }
        }

        @Override
        public List<NodeName> peers() {
            return mNodes.keySet().stream().filter(name -> !name.equals(mName)).toList();
        }

        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {
            if (source == StreamSource.LOG) {
                mRelay.announce();
            }
        }

        @Override
        public void confirmed(long asOfMilliseconds) {}

        @Override
        public void failed(Throwable failure) {}
    }
}
