package org.foxtailridge.membership.digest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.protocol.digest.DigestMessage;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.relay.StreamPosition;

/**
 * Simulated fleet whose nodes report every interval. Messages take 1 to 5 ms; nodes can be frozen,
 * data centres cut off, and messages lost at random.
 */
final class DigestFleet {
    static final Duration TICK = Duration.ofMillis(20);
    static final int ORDERS = 0;
    private static final long REPORT_INTERVAL_MILLISECONDS = 300;

    private final ManualClock mClock = ManualClock.atEpoch();
    private final Random mRandom;
    private final Map<NodeName, Node> mNodes = new TreeMap<>();
    private final Set<NodeName> mFrozen = new HashSet<>();
    private final Set<DataCentreName> mCutOff = new HashSet<>();
    private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
    private final Map<NodeName, Integer> mMessages = new HashMap<>();
    private Optional<NodeName> mDemandReader = Optional.empty();
    private double mLossShare;
    private long mDeliveries;

    DigestFleet(int nodes, int dataCentres, long seed) {
        mRandom = new Random(seed);
        for (int number = 0; number < nodes; number++) {
            DataCentreName dataCentre = DataCentreName.of("centre-" + number % dataCentres);
            NodeName name = NodeName.of("node-" + number);
            mNodes.put(name, new Node(name, dataCentre));
        }
        mNodes.values().forEach(this::updateNodes);
    }

    List<Node> nodes() {
        return List.copyOf(mNodes.values());
    }

    Node node(NodeName name) {
        return mNodes.get(name);
    }

    void demandReader(NodeName reader) {
        mDemandReader = Optional.of(reader);
    }

    void freeze(NodeName node) {
        mFrozen.add(node);
    }

    void thaw(NodeName node) {
        mFrozen.remove(node);
    }

    void cutOff(DataCentreName dataCentre) {
        mCutOff.add(dataCentre);
    }

    void lose(double share) {
        mLossShare = share;
    }

    int totalMessages() {
        return mMessages.values().stream().mapToInt(Integer::intValue).sum();
    }

    int messagesOfTheBusiest() {
        return mMessages.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    void resetMessages() {
        mMessages.clear();
    }

    void run(Duration time) {
        for (long ticks = time.dividedBy(TICK); ticks > 0; ticks--) {
            mClock.advance(TICK);
            long now = mClock.millis();
            while (!mInFlight.isEmpty() && mInFlight.peek().atMilliseconds() <= now) {
                deliver(mInFlight.remove());
            }
            mNodes.values().stream()
                    .filter(node -> !mFrozen.contains(node.mName))
                    .forEach(node -> node.tick(now));
        }
    }

    /** Returns the attempts that all nodes but one have in flight at an endpoint. */
    int inFlightOfOthers(Node except, String endpoint) {
        return mNodes.values().stream()
                .filter(node -> node != except)
                .mapToInt(node -> node.mInFlight.getOrDefault(endpoint, 0))
                .sum();
    }

    private void updateNodes(Node node) {
        Map<NodeName, DataCentreName> others = new HashMap<>();
        mNodes.values().forEach(other -> others.put(other.mName, other.mDataCentre));
        others.remove(node.mName);
        node.mDigests.updateNodes(others);
    }

    private void send(NodeName sender, NodeName receiver, DigestMessage message) {
        mMessages.merge(sender, 1, Integer::sum);
        mMessages.merge(receiver, 1, Integer::sum);
        if (!mNodes.containsKey(receiver)) {
            return;
        }
        DataCentreName from = mNodes.get(sender).mDataCentre;
        DataCentreName to = mNodes.get(receiver).mDataCentre;
        boolean cut = !from.equals(to) && (mCutOff.contains(from) || mCutOff.contains(to));
        if (!cut && mRandom.nextDouble() >= mLossShare) {
            long at = mClock.millis() + 1 + mRandom.nextInt(5);
            mInFlight.add(new Delivery(at, mDeliveries++, sender, receiver, message));
        }
    }

    private void deliver(Delivery delivery) {
        if (!mFrozen.contains(delivery.receiver())) {
            mNodes.get(delivery.receiver())
                    .mDigests
                    .onMessage(delivery.sender(), delivery.message());
        }
    }

    private record Delivery(
            long atMilliseconds,
            long number,
            NodeName sender,
            NodeName receiver,
            DigestMessage message)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atMilliseconds, other.atMilliseconds);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** One simulated node with what it has in flight and what reached it. */
    final class Node implements DigestOutbox, DigestListener {
        final NodeName mName;
        final DataCentreName mDataCentre;
        final FleetDigests mDigests;
        final Map<String, Integer> mInFlight = new HashMap<>();
        final Map<String, Double> mUnderWay = new HashMap<>();
        final Map<Integer, Long> mHeld = new HashMap<>();
        final Map<String, Map<String, Double>> mDemand = new HashMap<>();
        final Map<Integer, NodeName> mHolders = new HashMap<>();
        final List<AdapterResidence> mResidences = new ArrayList<>();
        long mOffset;
        long mToldOffset;
        private long mNextReportMilliseconds;

        private Node(NodeName name, DataCentreName dataCentre) {
            mName = name;
            mDataCentre = dataCentre;
            mNextReportMilliseconds = mRandom.nextInt((int) REPORT_INTERVAL_MILLISECONDS);
            mDigests =
                    new FleetDigests(
                            DigestSettings.defaults(), name, dataCentre, mClock, this, this);
        }

        private void tick(long now) {
            if (now >= mNextReportMilliseconds) {
                mNextReportMilliseconds = now + REPORT_INTERVAL_MILLISECONDS;
                mDigests.report(mInFlight, mUnderWay, mHeld);
            }
            mDigests.tick();
        }

        double demandOf(String model) {
            return mDemand.values().stream()
                    .mapToDouble(part -> part.getOrDefault(model, 0.0))
                    .sum();
        }

        @Override
        public void send(NodeName receiver, DigestMessage message) {
            DigestFleet.this.send(mName, receiver, message);
        }

        @Override
        public Optional<NodeName> demandReader() {
            return mDemandReader;
        }

        @Override
        public List<StreamPosition> positions() {
            return List.of(StreamPosition.newBuilder().setNextOffset(mOffset).build());
        }

        @Override
        public void onPositions(NodeName collector, List<StreamPosition> positions) {
            mToldOffset = positions.get(0).getNextOffset();
        }

        @Override
        public void onDemand(String source, Map<String, Double> underWay) {
            mDemand.put(source, underWay);
        }

        @Override
        public void onHolder(int partition, NodeName node, long fencing) {
            mHolders.put(partition, node);
        }

        @Override
        public void onResidence(AdapterResidence residence) {
            mResidences.add(residence);
        }
    }
}
