package org.foxtailridge.placement.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.engine.Resident;
import org.foxtailridge.placement.engine.ResidentState;
import org.foxtailridge.placement.order.Order;
import org.foxtailridge.placement.order.OrderAnswer;

/** An engine that obeys every order it may and never checks its memory. */
final class SimulatedEngine {
    private static final int SNAPSHOTS = 12;

    final String mName;
    final String mDataCentre;
    final long mMemoryBytes;
    final boolean mHonoursFencing;
    long mIncarnation = 1;
    boolean mAlive = true;
    private final Map<Artifact, Holding> mHoldings = new LinkedHashMap<>();
    private final Map<String, OrderAnswer> mStates = new HashMap<>();
    private final Map<String, Work> mWork = new LinkedHashMap<>();
    private final Deque<LoadReport> mSnapshots = new ArrayDeque<>();
    private long mHighestFencing;

    SimulatedEngine(String name, String dataCentre, long memoryBytes, boolean honoursFencing) {
        mName = name;
        mDataCentre = dataCentre;
        mMemoryBytes = memoryBytes;
        mHonoursFencing = honoursFencing;
    }

    void restart() {
        mIncarnation++;
        mAlive = true;
        mHighestFencing = 0;
        mHoldings.clear();
        mStates.clear();
        mWork.clear();
        mSnapshots.clear();
    }

    /** Returns the answer to a transmission; an unload that starts is reported to the listener. */
    OrderAnswer execute(Order order, long endMilliseconds, boolean fails, Runnable unloadStarts) {
        if (mStates.containsKey(order.orderId())) {
            return mStates.get(order.orderId());
        }
        if (mHonoursFencing && order.fencing() < mHighestFencing) {
            return OrderAnswer.OLD_FENCING;
        }
        mHighestFencing = Math.max(mHighestFencing, order.fencing());
        OrderAnswer answer = begin(order, endMilliseconds, fails, unloadStarts);
        mStates.put(order.orderId(), answer);
        return answer;
    }

    OrderAnswer stateOf(String orderId) {
        return mStates.getOrDefault(orderId, OrderAnswer.UNKNOWN);
    }

    void advance(long nowMilliseconds) {
        for (Work work : new ArrayList<>(mWork.values())) {
            if (work.endMilliseconds() <= nowMilliseconds) {
                mWork.remove(work.order().orderId());
                finish(work);
            }
        }
        mSnapshots.addLast(snapshot(nowMilliseconds));
        if (mSnapshots.size() > SNAPSHOTS) {
            mSnapshots.removeFirst();
        }
    }

    /** Returns a report that is some steps old. */
    LoadReport report(int lagSteps) {
        List<LoadReport> snapshots = new ArrayList<>(mSnapshots);
        return snapshots.get(Math.max(0, snapshots.size() - 1 - lagSteps));
    }

    boolean hasReport() {
        return mAlive && !mSnapshots.isEmpty();
    }

    long usedBytes() {
        return mHoldings.values().stream().mapToLong(Holding::bytes).sum();
    }

    int modelLoadsNow() {
        return (int)
                mHoldings.entrySet().stream()
                        .filter(entry -> entry.getKey().isModel())
                        .filter(entry -> entry.getValue().state() == ResidentState.LOADING)
                        .count();
    }

    /** Returns whether it serves a model, not counting one artifact. */
    boolean servesBeside(String model, Artifact leaving) {
        return mAlive
                && mHoldings.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(leaving))
                        .filter(entry -> entry.getKey().isModel())
                        .filter(entry -> entry.getKey().name().equals(model))
                        .anyMatch(entry -> entry.getValue().state() == ResidentState.RESIDENT);
    }

    boolean serves(String model) {
        return mAlive
                && mHoldings.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        entry.getKey().isModel()
                                                && entry.getKey().name().equals(model)
                                                && entry.getValue().state()
                                                        == ResidentState.RESIDENT);
    }

    private OrderAnswer begin(Order order, long end, boolean fails, Runnable unloadStarts) {
        Holding held = mHoldings.get(order.artifact());
        if (order.isLoad()) {
            if (held != null) {
                return held.state() == ResidentState.RESIDENT
                        ? OrderAnswer.DONE
                        : OrderAnswer.FAILED;
            }
            boolean otherVersion =
                    mHoldings.keySet().stream()
                            .anyMatch(
                                    artifact ->
                                            artifact.kind() == order.artifact().kind()
                                                    && artifact.name()
                                                            .equals(order.artifact().name()));
            if (otherVersion) {
                return OrderAnswer.FAILED;
            }
            hold(order.artifact(), order.bytes(), order.workingBytes(), ResidentState.LOADING);
        } else {
            if (held == null) {
                return OrderAnswer.DONE;
            }
            if (held.state() != ResidentState.RESIDENT) {
                return OrderAnswer.FAILED;
            }
            unloadStarts.run();
            hold(
                    order.artifact(),
                    held.weightsBytes(),
                    held.workingBytes(),
                    ResidentState.UNLOADING);
        }
        mWork.put(order.orderId(), new Work(order, end, fails));
        return OrderAnswer.RUNNING;
    }

    private void finish(Work work) {
        Order order = work.order();
        boolean fails = work.fails() && order.isLoad();
        if (order.isLoad() && !fails) {
            hold(order.artifact(), order.bytes(), order.workingBytes(), ResidentState.RESIDENT);
        } else {
            mHoldings.remove(order.artifact());
        }
        mStates.put(order.orderId(), fails ? OrderAnswer.FAILED : OrderAnswer.DONE);
    }

    private void hold(Artifact artifact, long weights, long working, ResidentState state) {
        mHoldings.put(artifact, new Holding(weights, working, state));
    }

    private LoadReport snapshot(long nowMilliseconds) {
        List<Resident> residents = new ArrayList<>();
        mHoldings.forEach(
                (artifact, holding) ->
                        residents.add(
                                new Resident(artifact, holding.weightsBytes(), holding.state())));
        return new LoadReport(
                mName,
                mIncarnation,
                nowMilliseconds,
                mMemoryBytes,
                usedBytes(),
                mHighestFencing,
                false,
                residents);
    }

    private record Holding(long weightsBytes, long workingBytes, ResidentState state) {
        long bytes() {
            return weightsBytes + workingBytes;
        }
    }

    private record Work(Order order, long endMilliseconds, boolean fails) {}
}
