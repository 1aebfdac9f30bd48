package org.foxtailridge.routing.queue;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingDecision;

/**
 * Receives the decisions of a {@link RequestScheduler}.
 *
 * <p>Called on the scheduler's thread. An implementation queues the work elsewhere and must not
 * call back into the scheduler from these methods.
 */
public interface SchedulerOutbox {
    /** Sends the request to the chosen endpoint under the identifier of the attempt. */
    void dispatch(Attempt attempt, RoutingDecision.Dispatch decision);

    /**
     * Answers the request with an error.
     *
     * @param request the request, which was removed from its queue and won't be dispatched
     * @param kind kind of the error; a kind that means "not run" only for a request of which no
     *     attempt can have begun
     * @param retryAfterSeconds seconds after which a retry may succeed
     */
    void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds);

    /**
     * Cancels the attempt at its endpoint to free capacity for interactive work. The implementation
     * then reports the end of the attempt as cancelled and submits {@link
     * RouteRequest#afterPreemption the rest} of the request again.
     */
    void preempt(Attempt attempt);
}
