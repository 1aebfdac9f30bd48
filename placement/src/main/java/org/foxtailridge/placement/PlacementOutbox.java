package org.foxtailridge.placement;

import org.foxtailridge.placement.order.OrderOutbox;
import org.foxtailridge.placement.order.OrderRequest;

/** What placement asks the node to do. No call waits for its effect. */
public interface PlacementOutbox extends OrderOutbox {
    /**
     * Passes a step of the plan to the node that holds the duty of the endpoint's orders, which may
     * be this one, and there to {@link Placement#requested}. A lost step is planned again.
     */
    void request(OrderRequest request);
}
