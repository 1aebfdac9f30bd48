package org.foxtailridge.routing;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.internal.DirectoryRouter;
import org.foxtailridge.routing.internal.EndpointEntry;

/** Takes the endpoints that can serve a target in turn. A baseline for comparison. */
public final class RoundRobinRouter extends DirectoryRouter {
    private final Map<String, Integer> mTurns = new HashMap<>();

    private RoundRobinRouter(Clock clock) {
        super(clock, DEFAULT_MAXIMUM_ATTEMPTS);
    }

    /** Returns a router. */
    public static RoundRobinRouter create(Clock clock) {
        return new RoundRobinRouter(clock);
    }

    @Override
    protected RoutingDecision pick(List<EndpointEntry> candidates, RouteRequest request) {
        int turn = mTurns.getOrDefault(request.target().name(), 0);
        for (int step = 0; step < candidates.size(); step++) {
            EndpointEntry entry = candidates.get((turn + step) % candidates.size());
            if (isAllowed(entry, request)) {
                mTurns.put(request.target().name(), (turn + step + 1) % candidates.size());
                return dispatch(entry, request, 0);
            }
        }
        return request.isIsolated() ? new RoutingDecision.Await() : refuse(ErrorKind.NO_ENDPOINT);
    }
}
