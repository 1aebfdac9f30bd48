package org.foxtailridge.bench.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.membership.probe.ListedVm;
import org.foxtailridge.membership.probe.Membership;
import org.foxtailridge.membership.probe.MembershipOutbox;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.protocol.membership.MemberState;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** Nodes of several data centres that probe each other, joined by messages with a loss. */
final class ProbingFleet {
    private static final Duration TICK = Duration.ofMillis(100);
    private static final int HEADER_BYTES = 72;
    private static final int ROUNDS_IN_TICK = 4;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final UniformRandomProvider mRandom;
    private final double mLossShare;
    private final Map<NodeName, Membership> mNodes = new TreeMap<>();
    private final Queue<Runnable> mInFlight = new ArrayDeque<>();
    private long mBytes;

    ProbingFleet(long seed, int dataCentres, int nodes, double lossShare) {
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mLossShare = lossShare;
        List<ListedVm> listed = new ArrayList<>();
        for (int number = 0; number < dataCentres * nodes; number++) {
            String dataCentre = "dc-" + number % dataCentres;
            listed.add(new ListedVm(nameOf(number), DataCentreName.of(dataCentre), false));
        }
        for (ListedVm vm : listed) {
            Membership node =
                    Membership.builder(vm.node(), vm.dataCentre())
                            .incarnation(1)
                            .clock(mClock)
                            .random(RandomSource.SPLIT_MIX_64.create(mRandom.nextLong()))
                            .outbox(new Outbox(vm.node()))
                            .build();
            node.onVmList(listed);
            mNodes.put(vm.node(), node);
        }
    }

    static NodeName nameOf(int number) {
        return NodeName.of("node-" + number);
    }

    int size() {
        return mNodes.size();
    }

    long takeBytes() {
        long bytes = mBytes;
        mBytes = 0;
        return bytes;
    }

    void kill(NodeName node) {
        mNodes.remove(node);
    }

    /** Returns how many nodes take the given one for dead. */
    long noticedBy(NodeName dead) {
        return mNodes.values().stream()
                .filter(
                        node ->
                                node.view()
                                        .member(dead)
                                        .filter(member -> member.state() == MemberState.DEAD)
                                        .isPresent())
                .count();
    }

    void run(Duration time) {
        for (long ticks = time.dividedBy(TICK); ticks > 0; ticks--) {
            mClock.advance(TICK);
            mNodes.values().forEach(Membership::tick);
            int left = mInFlight.size() * ROUNDS_IN_TICK;
            while (left > 0 && !mInFlight.isEmpty()) {
                mInFlight.remove().run();
                left--;
            }
        }
    }

    private final class Outbox implements MembershipOutbox {
        private final NodeName mFrom;

        private Outbox(NodeName from) {
            mFrom = from;
        }

        @Override
        public void send(NodeName to, MembershipMessage message) {
            mBytes += message.getSerializedSize() + HEADER_BYTES;
            if (mRandom.nextDouble() >= mLossShare) {
                mInFlight.add(() -> deliver(to, message));
            }
        }

        private void deliver(NodeName to, MembershipMessage message) {
            Membership node = mNodes.get(to);
            if (node != null) {
                node.onMessage(mFrom, message);
            }
        }

        @Override
        public void changed(MembershipView view) {}
    }
}
