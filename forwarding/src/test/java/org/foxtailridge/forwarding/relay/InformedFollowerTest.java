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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards nodes that one reader of the log informs: they read nothing while the reader is well, miss
 * no record, and read themselves when the reader is frozen or has lost the log.
 */
class InformedFollowerTest {
    private static final int INFORMED_NODES = 10;
    private static final long TICK_MILLISECONDS = 20;
    private static final long POSITIONS_INTERVAL_MILLISECONDS = 300;
    private static final Duration RELAYED_AGE = Duration.ofMillis(1_300);
    // A read of a node that is not informed any more, after the age that it tolerates.
    private static final long OWN_READ_MILLISECONDS = RELAYED_AGE.toMillis() + 600;

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(50));
    private final FakeLog mLog = new FakeLog();
    private final Map<NodeName, Node> mNodes = new LinkedHashMap<>();
    private final Deque<Runnable> mNetwork = new ArrayDeque<>();
    private final Random mLoss = new Random(3);
    private Node mReader;
    private double mLossRate;
    private boolean mReaderFrozen;

    @BeforeEach
    void start() {
        mLog.append(KeyedRecord.of("endpoint-0", new byte[300]));
        mReader = new Node(NodeName.of("reader"), Duration.ZERO);
        for (int number = 0; number < INFORMED_NODES; number++) {
            new Node(NodeName.of("informed-" + number), RELAYED_AGE);
        }
        run(3_000);
        mNodes.values().forEach(node -> node.mReads = 0);
    }

    @Test
    void should_bring_new_records_to_nodes_that_do_not_read() {
        // WHEN
        mLog.append(KeyedRecord.of("endpoint-1", new byte[300]));
        mLog.append(KeyedRecord.tombstone("endpoint-0"));
        run(600);

        // THEN
        assertThat(informed())
                .allSatisfy(
                        node -> {
                            assertThat(node.mFollower.values()).containsOnlyKeys("endpoint-1");
                            assertThat(node.mReads).isZero();
                        });
    }

    @Test
    void should_read_nothing_while_the_reader_confirms_the_state() {
        // WHEN
        run(20_000);

        // THEN
        assertThat(informed()).allSatisfy(node -> assertThat(node.mReads).isZero());
        assertThat(mReader.mReads).isPositive();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.3})
    void should_fetch_records_whose_message_was_lost(double lost) {
        // GIVEN
        mLossRate = lost;

        // WHEN
        for (int number = 1; number <= 40; number++) {
            mLog.append(KeyedRecord.of("endpoint-" + number, new byte[300]));
            run(100);
        }
        run(OWN_READ_MILLISECONDS);

        // THEN
        assertThat(informed()).allSatisfy(node -> assertThat(node.mFollower.values()).hasSize(41));
    }

    @Test
    void should_read_themselves_when_the_reader_is_frozen() {
        // GIVEN
        mReaderFrozen = true;

        // WHEN
        mLog.append(KeyedRecord.of("endpoint-1", new byte[300]));
        run(OWN_READ_MILLISECONDS);

        // THEN
        assertThat(informed())
                .allSatisfy(node -> assertThat(node.mFollower.values()).containsKey("endpoint-1"));
    }

    @Test
    void should_read_themselves_when_the_reader_has_lost_the_log() {
        // GIVEN a reader that goes on telling its position
        mReader.mLogLost = true;

        // WHEN
        mLog.append(KeyedRecord.of("endpoint-1", new byte[300]));
        run(OWN_READ_MILLISECONDS);

        // THEN
        assertThat(informed())
                .allSatisfy(node -> assertThat(node.mFollower.values()).containsKey("endpoint-1"));
    }

    @Test
    void should_not_go_back_when_an_earlier_message_arrives_late() {
        // GIVEN
        Node node = informed().get(0);
        mLog.append(KeyedRecord.of("endpoint-0", new byte[] {1}));
        mLog.append(KeyedRecord.of("endpoint-0", new byte[] {2}));
        run(600);
        long next = node.mFollower.nextOffset();

        // WHEN
        KeyedBatch late =
                new KeyedBatch(List.of(KeyedRecord.of("endpoint-0", new byte[] {1})), next - 1);
        boolean continues = node.mFollower.installDelta(next - 2, late, mClock.millis());

        // THEN
        assertThat(continues).isTrue();
        assertThat(node.mFollower.values().get("endpoint-0")).containsExactly(2);
    }

    private List<Node> informed() {
        return mNodes.values().stream().filter(node -> node != mReader).toList();
    }

    private void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
            mClock.advance(Duration.ofMillis(TICK_MILLISECONDS));
            for (Node node : mNodes.values()) {
                if (node != mReader || !mReaderFrozen) {
                    node.mFollower.tick();
                    node.mRelay.tick();
                }
            }
            if (!mReaderFrozen && mClock.millis() % POSITIONS_INTERVAL_MILLISECONDS == 0) {
                tellPositions();
            }
            List<Runnable> due = new ArrayList<>(mNetwork);
            mNetwork.clear();
            due.forEach(Runnable::run);
        }
    }

    private void tellPositions() {
        for (Node node : informed()) {
            if (mLoss.nextDouble() >= mLossRate) {
                node.mRelay.onReaderPositions(mReader.mName, mReader.mRelay.positions());
            }
        }
    }

    private final class Node implements RelayOutbox, StreamListener, KeyedLog {
        private final NodeName mName;
        private final StreamFollower mFollower;
        private final StreamRelay mRelay;
        private int mReads;
        private boolean mLogLost;

        private Node(NodeName name, Duration relayedAge) {
            mName = name;
            mFollower =
                    new StreamFollower(
                            KeyedStream.ENDPOINTS,
                            this,
                            new FollowerTimings(
                                            Duration.ZERO,
                                            Duration.ofMillis(500),
                                            Duration.ofMillis(250))
                                    .relayedUpTo(relayedAge),
                            mClock,
                            this);
            mRelay =
                    new StreamRelay(
                            RelaySettings.defaults(),
                            mClock,
                            new SplittableRandom(name.hashCode()),
                            this,
                            List.of(mFollower));
            mNodes.put(name, this);
        }

        @Override
        public CompletableFuture<KeyedBatch> newest(KeyedStream stream) {
            mReads++;
            return mLog.newest(stream);
        }

        @Override
        public CompletableFuture<KeyedBatch> read(KeyedStream stream, long from, Duration wait) {
            mReads++;
            return mLogLost ? new CompletableFuture<>() : mLog.read(stream, from, wait);
        }

        @Override
        public CompletableFuture<Void> put(KeyedStream stream, KeyedRecord entry) {
            return mLog.put(stream, entry);
        }

        @Override
        public void send(NodeName receiver, RelayMessage message) {
            if (mLoss.nextDouble() >= mLossRate) {
                mNetwork.add(() -> mNodes.get(receiver).receive(mName, message));
            }
        }

        private void receive(NodeName sender, RelayMessage message) {
            if (this != mReader || !mReaderFrozen) {
                mRelay.receive(sender, message);
            }
        }

        @Override
        public List<NodeName> peers() {
            return mNodes.keySet().stream().filter(name -> !name.equals(mName)).toList();
        }

        @Override
        public void appended(long fromOffset, KeyedBatch batch) {
            if (this == mReader) {
                mRelay.sendDelta(
                        KeyedStream.ENDPOINTS,
                        fromOffset,
                        batch,
                        informed().stream().map(node -> node.mName).toList());
            }
        }

        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {}

        @Override
        public void confirmed(long asOfMilliseconds) {}

        @Override
        public void failed(Throwable failure) {}
    }
}
