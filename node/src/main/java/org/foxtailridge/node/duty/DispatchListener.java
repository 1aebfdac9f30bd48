package org.foxtailridge.node.duty;

import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.RoutingDecision;

/** Hears what becomes of a request that was submitted for routing; must return at once. */
public interface DispatchListener {
    /** Send the request to the endpoint under the identifier of the attempt. */
    void onDispatch(Attempt attempt, RoutingDecision.Dispatch decision);

    /** The request is in no queue any more and won't be dispatched. */
    void onRefused(FoxtailridgeException refusal);

    /** Cancel the attempt to make room, report its end and submit the rest again. */
    void onPreempted(Attempt attempt);
}
