package org.foxtailridge.routing.queue;

import java.util.List;

/** Orders the client accounts of a lane; the first is served next. */
interface AccountOrder {
    /** Returns the queues that hold requests, the one to serve first at the front. */
    List<AccountQueue> order(List<AccountQueue> waiting);
}
