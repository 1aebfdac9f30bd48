package org.foxtailridge.placement.announced;

import java.time.Instant;

/** What placement asks the node to do. No call waits for its effect. */
public interface AnnouncedPlacementOutbox {
    /**
     * Sends an order; the answer is brought to {@link AnnouncedPlacement#answered}.
     *
     * @param order the order
     * @param notAfter instant from which it must not be sent any more
     */
    void send(ModelOrder order, Instant notAfter);

    /** Tells all nodes whether an engine holds an adapter. */
    void adapterResident(
            String engine, long engineStart, String model, String adapter, boolean resident);

    /** Asks an engine what it holds now. */
    void askReport(String engine);
}
