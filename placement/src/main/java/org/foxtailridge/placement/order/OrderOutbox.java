package org.foxtailridge.placement.order;

import java.time.Instant;

/** What the orders of an endpoint ask the node to do. No call waits for its effect. */
public interface OrderOutbox {
    /** Appends a record to the stream {@code orders}; the append may be lost. */
    void append(OrderRecord record);

    /**
     * Sends an order to its endpoint. The sender reads the clock again directly before it writes;
     * once the instant has passed it writes nothing and answers {@link OrderAnswer#LOST}. It also
     * answers LOST when no answer came in time.
     *
     * @param order order to send
     * @param notAfter end of the lease under which it is sent
     */
    void send(Order order, Instant notAfter);

    /**
     * Asks an endpoint for the state of an order.
     *
     * @param endpoint name of the endpoint
     * @param orderId identifier of the order
     * @param query number to give back with the answer
     */
    void query(String endpoint, String orderId, long query);
}
