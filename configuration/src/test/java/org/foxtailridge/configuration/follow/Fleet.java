package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.configuration.ConfigurationMessage;

/** Followers joined by messages that a seed loses, delays, doubles and reorders. */
final class Fleet {
    static final FollowerSettings SETTINGS =
            FollowerSettings.builder()
                    .windowRecords(4)
                    .readLimit(3)
                    .answerBytes(400)
                    .partBytes(200)
                    .build();
    private static final int MAXIMUM_IN_FLIGHT = 200;

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final BiFunction<FollowerSettings, FollowerOutbox, FollowedState> mStates;
    private final Map<NodeName, ConfigurationFollower> mNodes = new TreeMap<>();
    private final List<Delivery> mInFlight = new ArrayList<>();
    private final List<Runnable> mWaiting = new ArrayList<>();
    private final Set<NodeName> mCutFromLog = new HashSet<>();
    private final Set<NodeName> mCutFromPeers = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();
    private final FakeLog mLog = new FakeLog();
    private boolean mFaults = true;
    private int mEdits;

    Fleet(long seed, BiFunction<FollowerSettings, FollowerOutbox, FollowedState> states) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mStates = states;
        for (String name : List.of("a1", "a2", "b1", "b2")) {
            start(NodeName.of(name));
        }
    }

    List<String> violations() {
        return mViolations;
    }

    void step() {
        int choice = mRandom.nextInt(100);
        if (choice < 55) {
            deliverOne();
        } else if (choice < 75) {
            advance(Duration.ofMillis(200 + mRandom.nextInt(800)));
        } else if (choice < 83) {
            mLog.append(RecordCodec.write(edit()));
        } else if (choice < 86) {
            snapshot();
        } else if (choice < 88) {
            mLog.dropBelow(mLog.last() - mRandom.nextInt(3));
        } else if (choice < 90) {
            mLog.setUp(!mLog.isUp());
        } else if (choice < 93) {
            toggle(mCutFromLog);
        } else if (choice < 96) {
            toggle(mCutFromPeers);
        } else if (choice < 98) {
            start(anyNode());
        } else {
            advance(Duration.ofSeconds(20));
        }
    }

    /** Ends all faults and lets time pass until every node must be current. */
    void heal() {
        mFaults = false;
        mLog.setUp(true);
        mCutFromLog.clear();
        mCutFromPeers.clear();
        for (int round = 0; round < 60; round++) {
            advance(Duration.ofMillis(500));
            while (!mInFlight.isEmpty()) {
                deliverOne();
            }
        }
        long highest =
                mNodes.values().stream().mapToLong(node -> node.state().offset()).max().orElse(-1);
        mNodes.forEach((name, node) -> requireCurrent(name, node, highest));
    }

    private void requireCurrent(NodeName name, ConfigurationFollower node, long highest) {
        boolean lost = highest < mLog.last();
        boolean explained = lost && node.status().phase() != FollowerPhase.FOLLOWING;
        if (node.state().offset() != highest || (lost && !explained)) {
            mViolations.add(name + " is at " + node.status() + " but the log at " + mLog.last());
        }
    }

    private void advance(Duration time) {
        mClock.advance(time);
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
        for (NodeName name : List.copyOf(mNodes.keySet())) {
            if (!mFaults || mRandom.nextInt(8) > 0) {
                observe(name, node -> node.tick());
            }
        }
    }

    private void toggle(Set<NodeName> cut) {
        NodeName node = anyNode();
        if (!cut.remove(node)) {
            cut.add(node);
        }
    }

    private NodeName anyNode() {
        return List.copyOf(mNodes.keySet()).get(mRandom.nextInt(mNodes.size()));
    }

    private Edit edit() {
        ConfigurationState view = mNodes.get(anyNode()).state();
        Plan plan =
                Plan.builder("plan" + mRandom.nextInt(2))
                        .rateTokensPerSecond(mRandom.nextInt(3))
                        .build();
        EntryKey key = new EntryKey(EntryKind.PLAN, plan.name());
        long base = view.versionOf(key);
        boolean removes = mRandom.nextInt(4) == 0;
        Change change = removes ? Change.remove(key, base) : Change.set(plan, base);
        return new Edit("e" + mEdits++, "ana", List.of(change));
    }

    private void snapshot() {
        ConfigurationState state = mNodes.get(anyNode()).state();
        if (state.offset() >= 0) {
            mLog.append(RecordCodec.write(state.toSnapshot("s" + mEdits++)));
        }
    }

    private void start(NodeName name) {
        mInFlight.removeIf(delivery -> delivery.mTo.equals(name));
        Outbox outbox = new Outbox(name);
        ConfigurationFollower node =
                new ConfigurationFollower(
                        SETTINGS,
                        mClock,
                        RandomSource.SPLIT_MIX_64.create(mRandom.nextLong()),
                        outbox,
                        mStates.apply(SETTINGS, outbox));
        mNodes.put(name, node);
        mNodes.forEach((other, follower) -> follower.onPeers(peersOf(other)));
    }

    private Peers peersOf(NodeName name) {
        List<NodeName> near = new ArrayList<>();
        List<NodeName> far = new ArrayList<>();
        for (NodeName other : mNodes.keySet()) {
            if (!other.equals(name)) {
                boolean same = other.value().charAt(0) == name.value().charAt(0);
                (same ? near : far).add(other);
            }
        }
        return new Peers(near, far, name.value().endsWith("1"));
    }

    private void deliverOne() {
        if (mInFlight.isEmpty()) {
            return;
        }
        int index = mFaults ? mRandom.nextInt(mInFlight.size()) : 0;
        Delivery delivery = mInFlight.get(index);
        int fate = mFaults ? mRandom.nextInt(20) : 19;
        if (fate > 0 || !mFaults) {
            mInFlight.remove(index);
        }
        if (fate != 1) {
            observe(delivery.mTo, node -> delivery.mEvent.accept(node));
        }
    }

    private void observe(NodeName name, Consumer<ConfigurationFollower> event) {
        ConfigurationFollower node = mNodes.get(name);
        long before = node.state().offset();
        event.accept(node);
        ConfigurationState after = node.state();
        if (after.offset() < before) {
            mViolations.add(name + " fell from " + before + " to " + after.offset());
        }
        if (!after.equals(mLog.referenceAt(after.offset()))) {
            mViolations.add(name + " differs from the log at " + after.offset());
        }
    }

    private static final class Delivery {
        private final NodeName mTo;
        private final Consumer<ConfigurationFollower> mEvent;

        private Delivery(NodeName to, Consumer<ConfigurationFollower> event) {
            mTo = to;
            mEvent = event;
        }
    }

    private final class Outbox implements FollowerOutbox {
        private final NodeName mName;

        private Outbox(NodeName name) {
            mName = name;
        }

        @Override
        public void read(LogRead read) {
            if (!mLog.isUp() || mCutFromLog.contains(mName)) {
                put(mName, node -> node.onLogFailure(read.request()));
                return;
            }
            boolean waits = !read.waitTime().isZero() && read.from() > mLog.last();
            Runnable answer = () -> answer(read);
            if (waits) {
                mWaiting.add(answer);
            } else {
                answer.run();
            }
        }

        private void answer(LogRead read) {
            LogAnswer answer = mLog.read(read);
            put(mName, node -> node.onLogAnswer(read.request(), answer));
        }

        @Override
        public void send(NodeName to, ConfigurationMessage message) {
            if (!mCutFromPeers.contains(to) && !mCutFromPeers.contains(mName)) {
                put(to, node -> node.onMessage(mName, message));
            }
        }

        @Override
        public void inForce(ConfigurationState before, ConfigurationState after) {
            if (after.offset() <= before.offset()) {
                mViolations.add(mName + " put " + after + " in force after " + before);
            }
        }

        private void put(NodeName to, Consumer<ConfigurationFollower> event) {
            if (mInFlight.size() < MAXIMUM_IN_FLIGHT) {
                mInFlight.add(new Delivery(to, event));
            }
        }
    }
}
