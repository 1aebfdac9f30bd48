package org.foxtailridge.forwarding.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.relay.RelayOutbox;
import org.foxtailridge.forwarding.relay.RelaySettings;
import org.foxtailridge.forwarding.relay.StreamRelay;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.forwarding.stream.KeyedStream;
import org.foxtailridge.forwarding.stream.SilentLog;
import org.foxtailridge.forwarding.stream.StreamFollower;
import org.foxtailridge.forwarding.stream.StreamListener;
import org.foxtailridge.forwarding.stream.StreamSource;
import org.foxtailridge.protocol.relay.RelayMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an edit that comes into force late because a short silence of the log right after
 * the edit before lost the held reads of all nodes.
 */
class EditAfterShortSilenceTest {
    private static final Duration STEP = Duration.ofMillis(20);

    /** Time within which an acknowledged edit has to be in force. */
    private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

    private final ManualClock mClock = ManualClock.atEpoch();
    private final SilentLog mLog = new SilentLog(mClock);
    private final Map<NodeName, Node> mNodes = new LinkedHashMap<>();
    private final Deque<Runnable> mNetwork = new ArrayDeque<>();

    @ParameterizedTest(name = "{0} nodes, first edit after {1} ms, next one {2} ms later")
    @MethodSource("silences")
    void should_put_the_next_edit_in_force_in_time_on_all_nodes(
            int nodes, int firstMilliseconds, int nextMilliseconds) {
        // GIVEN an edit that makes all nodes read anew, and a silence that loses these reads
        startNodes(nodes);
        run(Duration.ofMillis(firstMilliseconds));
        mLog.append(KeyedRecord.of("config", new byte[] {1}));
        run(STEP.multipliedBy(2));
        mLog.setSilent(true);
        run(Duration.ofMillis(60));
        mLog.setSilent(false);
        run(Duration.ofMillis(nextMilliseconds));

        // WHEN the next edit is acknowledged
        mLog.append(KeyedRecord.of("config", new byte[] {2}));
        run(APPLY_BOUND);

        // THEN
        assertThat(mNodes.values())
                .allSatisfy(
                        node ->
                                assertThat(node.mFollower.values().get("config"))
                                        .containsExactly(2));
    }

    @ParameterizedTest
    @CsvSource({"1, 20", "3, 7", "7, 3", "9, 3", "12, 3"})
    void should_read_hardly_more_often_than_without_slots(int nodes, int readsOfNode) {
        // GIVEN
        startNodes(nodes);
        run(Duration.ofSeconds(10));
        int received = mLog.received();

        // WHEN no edit comes
        run(Duration.ofSeconds(10));

        // THEN
        assertThat(mLog.received() - received).isLessThanOrEqualTo(nodes * readsOfNode);
    }

    private static Stream<Arguments> silences() {
        return Stream.of(1, 2, 3, 7, 8, 9, 12)
                .flatMap(
                        nodes ->
                                Stream.of(4_000, 4_300, 5_100, 6_700, 7_840)
                                        .flatMap(
                                                first ->
                                                        Stream.of(0, 900, 2_000)
                                                                .map(
                                                                        next ->
                                                                                Arguments.of(
                                                                                        nodes,
                                                                                        first,
                                                                                        next))));
    }

    private void startNodes(int nodes) {
        List<NodeName> names = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            names.add(NodeName.of("node-" + (10 + node)));
        }
        names.forEach(name -> mNodes.put(name, new Node(name, names)));
    }

    private void run(Duration duration) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(duration) < 0;
                passed = passed.plus(STEP)) {
            mClock.advance(STEP);
            mLog.tick();
            mNodes.values().forEach(Node::tick);
            List<Runnable> due = new ArrayList<>(mNetwork);
            mNetwork.clear();
            due.forEach(Runnable::run);
        }
    }

    private final class Node implements RelayOutbox, StreamListener {
        private final NodeName mName;
        private final List<NodeName> mPeers;
        private final StreamFollower mFollower;
        private final StreamRelay mRelay;

        private Node(NodeName name, List<NodeName> fleet) {
            mName = name;
            mPeers = fleet.stream().filter(other -> !other.equals(name)).toList();
            mFollower =
                    new StreamFollower(
                            KeyedStream.CONFIGURATION,
                            mLog,
                            StaggeredReads.of(ReadTimings.DIRECT.configuration(), name, mPeers),
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

        private void tick() {
            mFollower.tick();
            mRelay.tick();
        }

        @Override
        public void send(NodeName receiver, RelayMessage message) {
            mNetwork.add(() -> mNodes.get(receiver).mRelay.receive(mName, message));
        }

        @Override
        public List<NodeName> peers() {
            return mPeers;
        }

        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {
            mRelay.announce();
        }

        @Override
        public void confirmed(long asOfMilliseconds) {}

        @Override
        public void failed(Throwable failure) {
            mFollower.logFailed();
        }
    }
}
