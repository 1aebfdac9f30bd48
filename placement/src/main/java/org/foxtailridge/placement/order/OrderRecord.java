package org.foxtailridge.placement.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.foxtailridge.placement.engine.Artifact;

/** A record of the stream {@code orders}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = OrderRecord.EndpointTaken.class, name = "endpoint_taken"),
    @JsonSubTypes.Type(value = OrderRecord.OrderIntended.class, name = "order_intended"),
    @JsonSubTypes.Type(value = OrderRecord.OrderResolved.class, name = "order_resolved")
})
public sealed interface OrderRecord {
    /** Returns the version of the record format. */
    int format();

    /** Returns the unique identifier of the record. */
    String id();

    /** Returns the endpoint that the record is about. */
    String endpoint();

    /** Returns the fencing number of the holder that wrote the record. */
    long fencing();

    /**
     * A holder takes an endpoint over, has read it afresh after a restart, or repeats its state
     * before the log drops the older records. Intents with a lower fencing number that come later
     * in the log are void. Orders in it are added to those on record and never replace them.
     *
     * @param incarnation incarnation of the engine; 0 when none is known
     * @param residents models that the holder knows to be resident
     * @param unresolved orders whose end is not known
     */
    record EndpointTaken(
            int format,
            String id,
            String endpoint,
            long fencing,
            long incarnation,
            List<Artifact> residents,
            List<Order> unresolved)
            implements OrderRecord {
        /** Copies the lists. */
        public EndpointTaken {
            residents = residents == null ? List.of() : List.copyOf(residents);
            unresolved = unresolved == null ? List.of() : List.copyOf(unresolved);
        }
    }

    /**
     * A holder means to send an order.
     *
     * @param order the order
     * @param witnesses for an unload of a listed model, the endpoints whose copies stay
     * @param limits limits of the weight store that the holder knew
     */
    record OrderIntended(
            int format,
            String id,
            String endpoint,
            long fencing,
            Order order,
            List<String> witnesses,
            WeightStoreLimits limits)
            implements OrderRecord {
        /** Copies the list. */
        public OrderIntended {
            witnesses = witnesses == null ? List.of() : List.copyOf(witnesses);
        }
    }

    /**
     * An order has ended.
     *
     * @param order the order
     * @param outcome how it ended
     * @param incarnation incarnation in which it ended
     * @param mayArriveLate whether a transmission of it has had no answer
     */
    record OrderResolved(
            int format,
            String id,
            String endpoint,
            long fencing,
            Order order,
            OrderOutcome outcome,
            long incarnation,
            boolean mayArriveLate)
            implements OrderRecord {}
}
