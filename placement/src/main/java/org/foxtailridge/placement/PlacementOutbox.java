package org.foxtailridge.placement;

import org.foxtailridge.placement.order.OrderOutbox;
import org.foxtailridge.protocol.placement.PlacementStep;

/** What placement asks the node to do. No call waits for its effect. */
public interface PlacementOutbox extends OrderOutbox {
    /**
     * Passes a step of the plan to the node that holds the duty of the endpoint's orders, which may
     * be this one, and there to {@link Placement#step}. A lost step is planned again.
     */
    void forward(PlacementStep step);
}
