package org.foxtailridge.routing;

import java.time.Clock;
import java.util.List;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.internal.DirectoryRouter;
import org.foxtailridge.routing.internal.EndpointEntry;

/** Takes the endpoint with the fewest attempts of this node. A baseline for comparison. */
public final class LeastInFlightRouter extends DirectoryRouter {
    private LeastInFlightRouter(Clock clock) {
        super(clock, DEFAULT_MAXIMUM_ATTEMPTS);
    }

    /** Returns a router. */
    public static LeastInFlightRouter create(Clock clock) {
        return new LeastInFlightRouter(clock);
    }

    @Override
    protected RoutingDecision pick(List<EndpointEntry> candidates, RouteRequest request) {
        EndpointEntry best = null;
        for (EndpointEntry entry : candidates) {
            boolean better = best == null || entry.inFlight() < best.inFlight();
            if (better && isAllowed(entry, request)) {
                best = entry;
            }
        }
        if (best != null) {
            return dispatch(best, request, 0);
        }
        return request.isIsolated() ? new RoutingDecision.Await() : refuse(ErrorKind.NO_ENDPOINT);
    }
}
