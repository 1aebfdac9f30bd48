package org.foxtailridge.bench.placement;

import java.util.List;
import org.foxtailridge.placement.order.OrderRequest;

/** A policy that decides the next loads and unloads. */
interface Strategy {
    /**
     * Returns the next steps.
     *
     * @param fleet the engines
     * @param second seconds since the start
     */
    List<OrderRequest> steps(BenchFleet fleet, int second);
}
