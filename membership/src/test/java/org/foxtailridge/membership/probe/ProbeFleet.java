package org.foxtailridge.membership.probe;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** Simulated network of nodes: links can be cut in one direction, and messages lost at random. */
final class ProbeFleet {
    static final Duration TICK = Duration.ofMillis(100);

    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = ManualClock.atEpoch();
    private final Map<NodeName, Membership> mNodes = new TreeMap<>();
    private final Map<NodeName, Long> mIncarnations = new HashMap<>();
    private final Set<String> mCuts = new HashSet<>();
    private final Queue<Runnable> mInFlight = new ArrayDeque<>();
    private final List<ListedVm> mListed = new ArrayList<>();
    private double mLossShare;
    private long mNextIncarnation = 1;
    private long mBytes;
    private long mMessages;

    ProbeFleet(long seed) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
    }

    static NodeName name(int dataCentre, int number) {
        return NodeName.of("node-" + dataCentre + "-" + number);
    }

    /** Lists and starts the given number of nodes in each data centre. */
    ProbeFleet start(int dataCentres, int nodes) {
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int number = 0; number < nodes; number++) {
                NodeName name = name(dataCentre, number);
                mListed.add(new ListedVm(name, dataCentreOf(name), false));
            }
        }
        mListed.forEach(vm -> restart(vm.node()));
        return this;
    }

    void restart(NodeName name) {
        long incarnation = mNextIncarnation++;
        mIncarnations.put(name, incarnation);
        Membership node =
                Membership.builder(name, dataCentreOf(name))
                        .incarnation(incarnation)
                        .clock(mClock)
                        .random(RandomSource.SPLIT_MIX_64.create(mRandom.nextLong()))
                        .outbox(new Outbox(name))
                        .build();
        mNodes.put(name, node);
        node.onVmList(mListed);
    }

    void kill(NodeName name) {
        mNodes.remove(name);
    }

    void cut(NodeName from, NodeName to) {
        mCuts.add(from + ">" + to);
    }

    void heal() {
        mCuts.clear();
        mLossShare = 0;
    }

    void lose(double share) {
        mLossShare = share;
    }

    Membership node(NodeName name) {
        return mNodes.get(name);
    }

    List<NodeName> running() {
        return List.copyOf(mNodes.keySet());
    }

    long incarnationOf(NodeName name) {
        return mIncarnations.get(name);
    }

    long getAndResetBytes() {
        long bytes = mBytes;
        mBytes = 0;
        return bytes;
    }

    long getAndResetMessages() {
        long messages = mMessages;
        mMessages = 0;
        return messages;
    }

    void run(Duration time) {
        for (long ticks = time.dividedBy(TICK); ticks > 0; ticks--) {
            mClock.advance(TICK);
            mNodes.values().forEach(Membership::tick);
            for (int left = mInFlight.size() * 4; left > 0 && !mInFlight.isEmpty(); left--) {
                mInFlight.remove().run();
            }
        }
    }

    /** Runs until a condition holds; returns the simulated time that this took, up to a limit. */
    Duration runUntil(BooleanSupplier condition, Duration atMost) {
        Duration passed = Duration.ZERO;
        while (!condition.getAsBoolean() && passed.compareTo(atMost) < 0) {
            run(TICK);
            passed = passed.plus(TICK);
        }
        return passed;
    }

    boolean allSee(NodeName name, Predicate<Member> expected) {
        return mNodes.values().stream()
                .allMatch(node -> node.view().member(name).filter(expected).isPresent());
    }

    private static DataCentreName dataCentreOf(NodeName name) {
        return DataCentreName.of("dc-" + name.value().split("-")[1]);
    }

    private final class Outbox implements MembershipOutbox {
        private final NodeName mFrom;

        private Outbox(NodeName from) {
            mFrom = from;
        }

        @Override
        public void send(NodeName to, MembershipMessage message) {
            mBytes += message.getSerializedSize();
            mMessages++;
            boolean cut = mCuts.contains(mFrom + ">" + to);
            if (cut || mRandom.nextDouble() < mLossShare) {
                return;
            }
            mInFlight.add(
                    () -> {
                        Membership node = mNodes.get(to);
                        if (node != null) {
                            node.onMessage(mFrom, message);
                        }
                    });
        }

        @Override
        public void changed(MembershipView view) {}
    }
}
