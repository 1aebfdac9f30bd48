package org.foxtailridge.placement.order;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailridge.placement.engine.LoadReport;
import org.foxtailridge.placement.memory.MemoryLedger;

/**
 * The fold of the stream {@code orders}: every node that reads the same records comes to the same
 * state and decides alike whether an intended order may be sent.
 *
 * <pre>{@code
 * OrderHistory history = new OrderHistory(OrderSettings.defaults());
 * history.endpoint("stone-1", 80_000_000_000L, true);
 * Admission admission = history.apply(record, recordTimeMilliseconds);
 * }</pre>
 */
public class OrderHistory {
    private final OrderSettings mSettings;
    private final WeightStoreBudget mBudget;
    private final Map<String, EndpointHistory> mEndpoints = new TreeMap<>();
    private final Set<String> mSeen = new LinkedHashSet<>();
    private long mLogMilliseconds;

    /** Creates a history without records. */
    public OrderHistory(OrderSettings settings) {
        mSettings = settings;
        mBudget =
                new WeightStoreBudget(
                        settings.slotTime().toMillis(), settings.longestDelay().toMillis());
    }

    /**
     * Returns the history of an endpoint.
     *
     * @param endpoint name of the endpoint
     * @param memoryBytes memory of its accelerator
     * @param honoursFencing whether it refuses orders with an old fencing number
     */
    public EndpointHistory endpoint(String endpoint, long memoryBytes, boolean honoursFencing) {
        EndpointHistory history = endpointOf(endpoint);
        history.ledger().memoryBytes(memoryBytes);
        history.honoursFencing(honoursFencing);
        return history;
    }

    /** Returns the history of an endpoint that records, reports or settings have named. */
    public Optional<EndpointHistory> find(String endpoint) {
        return Optional.ofNullable(mEndpoints.get(endpoint));
    }

    /** Returns the histories of all endpoints in order of their names. */
    public Collection<EndpointHistory> endpoints() {
        return Collections.unmodifiableCollection(mEndpoints.values());
    }

    /** Forgets an endpoint that is not listed any more. */
    public void forget(String endpoint) {
        mEndpoints.remove(endpoint);
    }

    /** Applies a load report. */
    public void report(LoadReport report) {
        endpointOf(report.endpoint()).report(report);
    }

    /**
     * Stops to charge late orders that can't arrive any more.
     *
     * @param sinceRecord time since the last record was applied
     */
    public void forgetLate(Duration sinceRecord) {
        long now = mLogMilliseconds + sinceRecord.toMillis();
        long before = now - mSettings.lateOrderTime().toMillis();
        mEndpoints.values().forEach(history -> history.letLatePass(before));
    }

    /**
     * Applies a record.
     *
     * @param record record of the stream, in the order of the log
     * @param logMilliseconds time that the log gave the record
     * @return for an intended order whether it may be sent; {@link Admission#NOW} for others
     */
    public Admission apply(OrderRecord record, long logMilliseconds) {
        mLogMilliseconds = Math.max(mLogMilliseconds, logMilliseconds);
        EndpointHistory history = endpointOf(record.endpoint());
        if (!mSeen.add(record.id())) {
            return Admission.refused(Admission.Decision.DUPLICATE);
        }
        forgetOldestIdentifier();
        history.dropLateBefore(lateSince());
        if (isFenced(record, history)) {
            return Admission.refused(Admission.Decision.OLD_FENCING);
        }
        if (record instanceof OrderRecord.OrderResolved resolved) {
            mBudget.release(resolved.order().orderId());
            history.resolved(resolved, mLogMilliseconds);
            return Admission.NOW;
        }
        if (record instanceof OrderRecord.EndpointTaken taken) {
            history.taken(taken);
            return Admission.NOW;
        }
        return intended((OrderRecord.OrderIntended) record, history);
    }

    private Admission intended(OrderRecord.OrderIntended record, EndpointHistory history) {
        Admission admission = admissionOf(record, history);
        if (admission.isAdmitted()) {
            history.intended(record);
        }
        return admission;
    }

    private Admission admissionOf(OrderRecord.OrderIntended record, EndpointHistory history) {
        Order order = record.order();
        boolean repeated = history.isUnresolved(order.orderId());
        if (history.hasEnded(order.orderId())) {
            return Admission.refused(Admission.Decision.DUPLICATE);
        }
        if (!repeated && history.isConcerned(order.artifact())) {
            return Admission.refused(Admission.Decision.CONFLICT);
        }
        if (!repeated && history.unresolved().size() >= mSettings.maximumUnresolved()) {
            return Admission.refused(Admission.Decision.TOO_MANY);
        }
        if (order.isLoad()) {
            return mBudget.admit(order, record.limits(), mLogMilliseconds);
        }
        return repeated || hasWitness(record)
                ? Admission.NOW
                : Admission.refused(Admission.Decision.LAST_COPY);
    }

    /** Returns whether a holder with a higher fencing number has taken the endpoint over. */
    boolean isFenced(OrderRecord record, EndpointHistory history) {
        return record.fencing() < history.fencing();
    }

    /** Returns the ledger of an endpoint that has not been named before. */
    MemoryLedger newLedger() {
        return new MemoryLedger(0);
    }

    /** Returns whether a copy stays elsewhere by the records, if the intent names witnesses. */
    boolean hasWitness(OrderRecord.OrderIntended record) {
        if (record.witnesses().isEmpty()) {
            return true;
        }
        return record.witnesses().stream()
                .map(mEndpoints::get)
                .anyMatch(
                        history ->
                                history != null
                                        && history.keepsModelBeside(record.order(), lateSince()));
    }

    private long lateSince() {
        return mLogMilliseconds - mSettings.lateOrderTime().toMillis();
    }

    private void forgetOldestIdentifier() {
        if (mSeen.size() > mSettings.rememberedRecords()) {
            Iterator<String> oldest = mSeen.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private EndpointHistory endpointOf(String endpoint) {
        return mEndpoints.computeIfAbsent(endpoint, name -> new EndpointHistory(name, newLedger()));
    }
}
