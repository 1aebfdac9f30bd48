package org.foxtailridge.forwarding.engine;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.placement.announced.ModelOrder;
import org.foxtailridge.placement.announced.ModelOrderAnswer;

/**
 * Client for the reports and placement orders of model engines. Futures complete on the thread that
 * drives the node.
 */
public interface EngineControl {
    /** Fetches the report of an engine; fails if the answer is late or cannot be decoded. */
    CompletableFuture<EngineReport> fetchReport(EndpointAnnouncement engine, Duration timeout);

    /**
     * Sends a placement order. The future never fails; a refused, unsent or unanswered order is
     * reported by its result.
     *
     * @param engine the engine
     * @param model name under which the engine knows the model
     * @param order the placement order
     * @param holder label of this node, which holds the duty of placement orders
     * @param timeout time after which the answer is treated as lost
     */
    CompletableFuture<ModelOrderAnswer> sendOrder(
            EndpointAnnouncement engine,
            String model,
            ModelOrder order,
            String holder,
            Duration timeout);
}
