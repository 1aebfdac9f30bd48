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

    /**
     * Tells all nodes that an engine has loaded a model or is about to drop it, which its
     * announcement says later.
     */
    void modelResident(String engine, long engineStart, String model, boolean resident);

    /** Asks an engine what it holds now, unless it is being asked already. */
    void askReport(String engine);
}
