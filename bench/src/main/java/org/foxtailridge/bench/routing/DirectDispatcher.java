package org.foxtailridge.bench.routing;

import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;

/** Sends each request at once to the endpoint that a router chooses. */
final class DirectDispatcher implements FakeNode.Dispatcher {
    private final Router mRouter;
    private final FakeNode mNode;
    private long mNextAttempt;

    DirectDispatcher(Router router, FakeNode node) {
        mRouter = router;
        mNode = node;
    }

    @Override
    public void submit(RouteRequest request) {
        if (mRouter.choose(request) instanceof RoutingDecision.Dispatch dispatch) {
            Attempt attempt =
                    new Attempt("attempt-" + mNextAttempt++, dispatch.endpoint(), request);
            mRouter.attemptStarted(attempt);
            mNode.send(attempt);
        } else {
            mNode.refuse(
                    request,
                    request.mayHaveBegun() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.NO_ENDPOINT);
        }
    }

    @Override
    public void firstToken(String attemptId) {
        mRouter.firstTokenArrived(attemptId);
    }

    @Override
    public void ended(String attemptId, AttemptOutcome end, int tokens) {
        mRouter.attemptEnded(attemptId, end);
    }

    @Override
    public void configure(Configuration configuration) {
        mRouter.configure(configuration);
    }

    @Override
    public void report(EndpointName endpoint, LoadReport report) {
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
    public void tick() {}
}
