package org.foxtailridge.bench.routing;

import java.time.Clock;
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
import org.foxtailridge.routing.queue.RequestScheduler;
import org.foxtailridge.routing.queue.SchedulerOutbox;

/** Sends requests as the scheduler of a node decides. */
final class QueueingDispatcher implements FakeNode.Dispatcher, SchedulerOutbox {
    private final FakeNode mNode;
    private final RequestScheduler mScheduler;

    QueueingDispatcher(Clock clock, Router router, FakeNode node) {
        mNode = node;
        mScheduler = RequestScheduler.builder(clock, router, this).build();
    }

    @Override
    public void submit(RouteRequest request) {
        mScheduler.submit(request);
    }

    @Override
    public void firstToken(String attemptId) {
        mScheduler.firstTokenArrived(attemptId);
    }

    @Override
    public void ended(String attemptId, AttemptOutcome end, int tokens) {
        mScheduler.attemptEnded(attemptId, end, tokens);
    }

    @Override
    public void configure(Configuration configuration) {
        mScheduler.configure(configuration);
    }

    @Override
    public void report(EndpointName endpoint, LoadReport report) {
        mScheduler.loadReported(endpoint, report);
    }

    @Override
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        mScheduler.cacheChanged(endpoint, events);
    }

    @Override
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mScheduler.endpointChanged(endpoint, state);
    }

    @Override
    public void tick() {
        mScheduler.tick();
    }

    @Override
    public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        mNode.send(attempt);
    }

    @Override
    public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        mNode.refuse(request, kind);
    }

    @Override
    public void preempt(Attempt attempt) {
        mNode.preempt(attempt);
    }
}
