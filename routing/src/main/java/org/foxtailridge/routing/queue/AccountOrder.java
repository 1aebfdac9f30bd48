package org.foxtailridge.routing.queue;

import java.util.List;

/** Scheduling order among the client accounts of one {@link WeightedFairQueue}. */
interface AccountOrder {
    /**
     * Returns the queues in the order in which they are served.
     *
     * @param waiting queues that hold at least one request; not changed
     */
    List<AccountQueue> order(List<AccountQueue> waiting);
}
