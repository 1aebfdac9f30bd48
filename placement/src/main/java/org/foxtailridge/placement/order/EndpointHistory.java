package org.foxtailridge.placement.order;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.memory.MemoryLedger;

/** What the log says about the orders of one endpoint, beside the endpoint's last load report. */
public final class EndpointHistory {
    private static final int REMEMBERED_ENDS = 1_000;

    private final String mEndpoint;
    private final MemoryLedger mLedger;
    private final Map<String, Order> mUnresolved = new LinkedHashMap<>();
    private final Map<String, LateOrder> mLate = new LinkedHashMap<>();
    private final Set<Artifact> mResidents = new HashSet<>();
    private final Set<String> mEnded = new LinkedHashSet<>();
    private final Set<Artifact> mUnloaded = new HashSet<>();
    private long mFencing;
    private long mIncarnation;
    private long mLatePassedMilliseconds;
    private boolean mHonoursFencing;
    private LoadReport mReport;

    EndpointHistory(String endpoint, MemoryLedger ledger) {
        mEndpoint = endpoint;
        mLedger = ledger;
    }

    /** Returns the name of the endpoint. */
    public String endpoint() {
        return mEndpoint;
    }

    /** Returns the memory ledger. */
    public MemoryLedger ledger() {
        return mLedger;
    }

    /** Returns the last load report. */
    public Optional<LoadReport> report() {
        return Optional.ofNullable(mReport);
    }

    /** Returns the orders whose end is not on record, oldest first. */
    public Collection<Order> unresolved() {
        return Collections.unmodifiableCollection(mUnresolved.values());
    }

    /** Returns the models that are resident by the records. */
    public Set<Artifact> residents() {
        return Collections.unmodifiableSet(mResidents);
    }

    /** Returns the highest fencing number on record; 0 for none. */
    public long fencing() {
        return mFencing;
    }

    /** Returns the incarnation on record; 0 for none. */
    public long incarnation() {
        return mIncarnation;
    }

    /** Returns whether an order that has not ended concerns the artifact. */
    public boolean isConcerned(Artifact artifact) {
        return mUnresolved.values().stream().anyMatch(order -> order.artifact().equals(artifact));
    }

    /** Returns whether an unload of the artifact is on record and may still be executed. */
    public boolean isGoing(Artifact artifact) {
        return isGoing(artifact, mLatePassedMilliseconds);
    }

    private boolean isGoing(Artifact artifact, long lateSinceMilliseconds) {
        return mUnresolved.values().stream().anyMatch(order -> isUnloadOf(order, artifact))
                || mLate.values().stream()
                        .filter(late -> late.endedIncarnation() < mIncarnation)
                        .filter(late -> late.endedMilliseconds() >= lateSinceMilliseconds)
                        .anyMatch(late -> isUnloadOf(late.order(), artifact));
    }

    private static boolean isUnloadOf(Order order, Artifact artifact) {
        return !order.isLoad() && order.artifact().equals(artifact);
    }

    /**
     * Returns whether a copy of a model is resident by the records and not on its way out.
     *
     * @param leaving artifact that does not count if it is on this endpoint
     * @param lateSinceMilliseconds time of the log since which ended orders may still arrive
     */
    boolean keepsModelBeside(Order leaving, long lateSinceMilliseconds) {
        boolean here = leaving.endpoint().equals(mEndpoint);
        return mResidents.stream()
                .filter(artifact -> artifact.model().equals(leaving.artifact().model()))
                .filter(artifact -> !here || !artifact.equals(leaving.artifact()))
                .anyMatch(artifact -> !isGoing(artifact, lateSinceMilliseconds));
    }

    boolean isUnresolved(String orderId) {
        return mUnresolved.containsKey(orderId);
    }

    void report(LoadReport report) {
        if (mReport == null || report.isNewerThan(mReport)) {
            mReport = report;
        }
        mLedger.report(report);
        fenceLate(report);
    }

    void honoursFencing(boolean honoursFencing) {
        mHonoursFencing = honoursFencing;
    }

    /** Returns whether the engine refuses an order because it has seen a higher fencing number. */
    boolean refuses(Order order) {
        return mHonoursFencing && mReport != null && mReport.highestFencing() > order.fencing();
    }

    void taken(OrderRecord.EndpointTaken record) {
        mFencing = record.fencing();
        enter(record.incarnation());
        if (record.incarnation() == mIncarnation) {
            record.residents().stream()
                    .filter(artifact -> !mUnloaded.contains(artifact))
                    .forEach(mResidents::add);
        }
        record.unresolved().stream().filter(order -> !hasEnded(order.orderId())).forEach(this::add);
    }

    private void enter(long incarnation) {
        if (incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mResidents.clear();
            mUnloaded.clear();
            mLedger.enter(incarnation);
        }
    }

    void intended(OrderRecord.OrderIntended record) {
        mFencing = record.fencing();
        add(record.order());
    }

    void resolved(OrderRecord.OrderResolved record, long logMilliseconds) {
        Order order = record.order();
        boolean known = mUnresolved.remove(order.orderId()) != null;
        noteEnd(order.orderId());
        boolean done = record.outcome() == OrderOutcome.DONE;
        enter(record.incarnation());
        if (known && done && record.incarnation() == mIncarnation) {
            noteResidence(order);
        }
        if (known) {
            applyToLedger(record);
        }
        if (record.mayArriveLate()) {
            noteLate(record, logMilliseconds);
        }
    }

    /** Returns whether the end of an order is among the last that were recorded. */
    boolean hasEnded(String orderId) {
        return mEnded.contains(orderId);
    }

    private void noteEnd(String orderId) {
        mEnded.add(orderId);
        if (mEnded.size() > REMEMBERED_ENDS) {
            Iterator<String> oldest = mEnded.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void noteLate(OrderRecord.OrderResolved record, long logMilliseconds) {
        Order order = record.order();
        mLate.put(order.orderId(), new LateOrder(order, logMilliseconds, record.incarnation()));
        if (order.isLoad()) {
            mLedger.mayArriveLate(
                    order.orderId(), order.artifact(), order.chargeBytes(), record.incarnation());
        }
    }

    /** Drops late orders that ended before the instant, by the log's clock. */
    void dropLateBefore(long logMilliseconds) {
        letLatePass(logMilliseconds);
        mLate.values().removeIf(late -> late.endedMilliseconds() < logMilliseconds);
    }

    /**
     * Stops to charge late orders that ended before the instant, by an estimate of the log's clock.
     * The fold itself keeps them until a record shows that the time has passed, so that all readers
     * decide alike.
     */
    void letLatePass(long logMilliseconds) {
        mLatePassedMilliseconds = Math.max(mLatePassedMilliseconds, logMilliseconds);
        for (LateOrder late : mLate.values()) {
            if (late.endedMilliseconds() < mLatePassedMilliseconds) {
                mLedger.forgetLate(late.order().orderId());
            }
        }
    }

    private void add(Order order) {
        mUnresolved.put(order.orderId(), order);
        if (order.isLoad()) {
            mLedger.charge(order.orderId(), order.artifact(), order.chargeBytes());
        }
    }

    /** Settles late orders that the engine refuses in the incarnation of the report. */
    private void fenceLate(LoadReport report) {
        for (LateOrder late : mLate.values()) {
            Order order = late.order();
            boolean fenced = mHonoursFencing && order.fencing() < report.highestFencing();
            boolean passed = late.endedMilliseconds() < mLatePassedMilliseconds;
            if (fenced && order.isLoad() && !passed) {
                mLedger.mayArriveLate(
                        order.orderId(),
                        order.artifact(),
                        order.chargeBytes(),
                        Math.max(late.endedIncarnation(), report.incarnation()));
            }
        }
    }

    private void noteResidence(Order order) {
        if (!order.artifact().isModel()) {
            return;
        }
        if (order.isLoad()) {
            mResidents.add(order.artifact());
            mUnloaded.remove(order.artifact());
        } else {
            mResidents.remove(order.artifact());
            mUnloaded.add(order.artifact());
        }
    }

    private void applyToLedger(OrderRecord.OrderResolved record) {
        Order order = record.order();
        boolean done = record.outcome() == OrderOutcome.DONE;
        if (!order.isLoad()) {
            if (done) {
                mLedger.confirmUnload(order.artifact(), record.incarnation());
            }
            return;
        }
        if (done) {
            mLedger.confirmLoad(order.orderId(), record.incarnation());
        } else {
            mLedger.discharge(order.orderId());
        }
    }

    private record LateOrder(Order order, long endedMilliseconds, long endedIncarnation) {}
}
