package org.foxtailridge.placement.order;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.foxtailridge.placement.engine.Artifact;

/** Writes the records of one endpoint's orders, each with an identifier of its own. */
final class OrderJournal {
    private final String mEndpoint;
    private final OrderOutbox mOutbox;
    private final Supplier<WeightStoreLimits> mLimits;
    private long mNumber;

    OrderJournal(String endpoint, OrderOutbox outbox, Supplier<WeightStoreLimits> limits) {
        mEndpoint = endpoint;
        mOutbox = outbox;
        mLimits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns a number that has not been used for a record, an order or a query. */
    long nextNumber() {
        mNumber++;
        return mNumber;
    }

    void taken(
            long fencing,
            long incarnation,
            List<Artifact> residents,
            Collection<Order> unresolved) {
        mOutbox.append(
                new OrderRecord.EndpointTaken(
                        OrderRecordCodec.FORMAT,
                        mEndpoint + "-" + fencing + "-taken-" + nextNumber(),
                        mEndpoint,
                        fencing,
                        incarnation,
                        residents,
                        List.copyOf(unresolved)));
    }

    void intended(long fencing, TrackedOrder tracked) {
        mOutbox.append(
                new OrderRecord.OrderIntended(
                        OrderRecordCodec.FORMAT,
                        identifier(fencing, tracked, "intended"),
                        mEndpoint,
                        fencing,
                        tracked.mOrder,
                        tracked.mWitnesses,
                        mLimits.get()));
    }

    void resolved(long fencing, TrackedOrder tracked) {
        mOutbox.append(
                new OrderRecord.OrderResolved(
                        OrderRecordCodec.FORMAT,
                        identifier(fencing, tracked, "resolved"),
                        mEndpoint,
                        fencing,
                        tracked.mOrder,
                        tracked.mOutcome,
                        tracked.mEndedIn,
                        tracked.mMayArriveLate));
    }

    /** The fencing number tells apart the records of an order by a holder and its successor. */
    private String identifier(long fencing, TrackedOrder tracked, String event) {
        return tracked.mOrder.orderId() + "-" + event + "-" + fencing + "-" + nextNumber();
    }
}
