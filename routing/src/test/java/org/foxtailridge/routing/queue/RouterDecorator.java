package org.foxtailridge.routing.queue;

import java.util.Set;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;

/** Passes every call on; a subclass breaks one rule. */
class RouterDecorator implements Router {
    private final Router mRouter;

    RouterDecorator(Router router) {
        mRouter = router;
    }

    @Override
    public RoutingDecision choose(RouteRequest request) {
        return mRouter.choose(request);
    }

    @Override
    public void configure(Configuration configuration) {
        mRouter.configure(configuration);
    }

    @Override
    public void loadReported(EndpointName endpoint, LoadReport report) {
        mRouter.loadReported(endpoint, report);
    }

    @Override
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        mRouter.cacheChanged(endpoint, events);
    }

    @Override
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mRouter.endpointChanged(endpoint, state);
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        mRouter.attemptStarted(attempt);
    }

    @Override
    public void firstTokenArrived(String attemptId) {
        mRouter.firstTokenArrived(attemptId);
    }

    @Override
    public void paceObserved(String attemptId, double millisecondsBetweenTokens) {
        mRouter.paceObserved(attemptId, millisecondsBetweenTokens);
    }

    @Override
    public void attemptEnded(String attemptId, AttemptOutcome end) {
        mRouter.attemptEnded(attemptId, end);
    }

    @Override
    public Set<String> targetsOn(EndpointName endpoint) {
        return mRouter.targetsOn(endpoint);
    }

    @Override
    public int inFlight(EndpointName endpoint) {
        return mRouter.inFlight(endpoint);
    }
}
