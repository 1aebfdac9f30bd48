package org.foxtailridge.routing.queue;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingDecision;

/**
 * What a {@link RequestScheduler} wants done. Called on the scheduler's thread; an implementation
 * hands the work on and never calls the scheduler back directly.
 */
public interface SchedulerOutbox {
    /** Send the request to the endpoint under the identifier of the attempt. */
    void dispatch(Attempt attempt, RoutingDecision.Dispatch decision);

    /**
     * Answer that the request failed.
     *
     * @param request the request, which is in no queue any more and won't be dispatched
     * @param kind kind of the failure; says "not run" only for a request that never began
     * @param retryAfterSeconds seconds after which a retry may succeed
     */
    void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds);

    /**
     * Cancel the attempt at its endpoint to make room, report its end as cancelled and submit
     * {@link RouteRequest#afterPreemption the rest} again.
     */
    void preempt(Attempt attempt);
}
