package org.foxtailridge.configuration.follow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks how old the knowledge of nodes becomes while the log is up and nobody edits the lists: a
 * plan with the smallest staleness that operators may rely on must never be refused then.
 */
class FollowerStalenessTest {
    private static final Duration SMALLEST_STALENESS = Duration.ofSeconds(8);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final int STEPS = 4_000;
    private static final int WARM_UP_STEPS = 200;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final Map<NodeName, ConfigurationFollower> mNodes = new LinkedHashMap<>();
    private final List<Runnable> mMessages = new ArrayList<>();
    private final List<WaitingRead> mReads = new ArrayList<>();
    private final FakeLog mLog = new FakeLog();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 8})
    void should_know_of_the_log_recently_while_it_is_up_and_idle(int nodes) {
        // GIVEN
        start(nodes);
        advance(WARM_UP_STEPS);
        // WHEN
        Duration oldest = advance(STEPS);
        // THEN
        assertThat(oldest).isLessThan(SMALLEST_STALENESS);
    }

    private void start(int nodes) {
        List<NodeName> names = new ArrayList<>();
        for (int index = 0; index < nodes; index++) {
            names.add(NodeName.of("vm-" + index));
        }
        for (NodeName name : names) {
            mNodes.put(
                    name,
                    ConfigurationFollower.create(
                            FollowerSettings.defaults(),
                            mClock,
                            RandomSource.SPLIT_MIX_64.create(name.hashCode()),
                            new Outbox(name)));
            List<NodeName> others = new ArrayList<>(names);
            others.remove(name);
            boolean reads = name.equals(names.get(0));
            mNodes.get(name).onPeers(new Peers(others, List.of(), reads));
        }
    }

    /** Lets time pass; returns the greatest staleness of any node. */
    private Duration advance(int steps) {
        Duration oldest = Duration.ZERO;
        for (int step = 0; step < steps; step++) {
            mClock.advance(STEP);
            answerReads();
            mNodes.values().forEach(ConfigurationFollower::tick);
            deliver();
            for (ConfigurationFollower node : mNodes.values()) {
                Duration staleness = node.status().staleness().orElse(Duration.ofDays(1));
                oldest = staleness.compareTo(oldest) > 0 ? staleness : oldest;
            }
        }
        return oldest;
    }

    private void answerReads() {
        for (WaitingRead read : List.copyOf(mReads)) {
            if (!mClock.instant().isBefore(read.until())) {
                mReads.remove(read);
                mNodes.get(read.node()).onLogAnswer(read.read().request(), mLog.read(read.read()));
            }
        }
    }

    private void deliver() {
        while (!mMessages.isEmpty()) {
            mMessages.remove(0).run();
        }
    }

    private record WaitingRead(NodeName node, LogRead read, Instant until) {}

    private final class Outbox implements FollowerOutbox {
        private final NodeName mName;

        private Outbox(NodeName name) {
            mName = name;
        }

        @Override
        public void read(LogRead read) {
            mReads.add(new WaitingRead(mName, read, mClock.instant().plus(read.waitTime())));
        }

        @Override
        public void send(NodeName to, ConfigurationMessage message) {
            mMessages.add(() -> mNodes.get(to).onMessage(mName, message));
        }

        @Override
        public void inForce(ConfigurationState before, ConfigurationState after) {}
    }
}
