package org.foxtailridge.forwarding.engine;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.placement.announced.ModelOrder;
import org.foxtailridge.placement.announced.ModelOrderAnswer;

/** Asks engines. Futures complete on the thread that drives the node. */
public interface EngineControl {
    /** Returns what an engine says; fails when it does not answer in time or unreadably. */
    CompletableFuture<EngineReport> fetchReport(EndpointAnnouncement engine, Duration timeout);

    /**
     * Gives an order; never fails.
     *
     * @param engine the engine
     * @param model name under which the engine knows the model
     * @param order the order
     * @param holder name of this node
     * @param timeout time after which the answer counts as lost
     */
    CompletableFuture<ModelOrderAnswer> sendOrder(
            EndpointAnnouncement engine,
            String model,
            ModelOrder order,
            String holder,
            Duration timeout);
}
