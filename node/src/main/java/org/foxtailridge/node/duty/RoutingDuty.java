package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.execution.retry.FailedAttempt;
import org.foxtailridge.execution.retry.RetryDecision;
import org.foxtailridge.execution.retry.RetryPolicy;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.peer.PeerIdentity;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.queue.QueueSettings;
import org.foxtailridge.routing.queue.RequestScheduler;
import org.foxtailridge.routing.queue.SchedulerOutbox;

/** Runs queues, router and retry policy on a thread of their own. */
@Singleton
public final class RoutingDuty implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);

    private final DutyThread mThread;
    private final Router mRouter;
    private final RequestScheduler mScheduler;
    private final RetryPolicy mRetries;
    private final DutyTimer mTimer;
    private final Map<String, DispatchListener> mListeners = new HashMap<>();

    /** Creates the duty and starts its thread. */
    @Inject
    public RoutingDuty(
            NodeSettings settings,
            PeerIdentity identity,
            Router router,
            RetryPolicy retries,
            Clock clock,
            ConfigurationView configuration,
            DutyTimer timer) {
        mRouter = router;
        mRetries = retries;
        mTimer = timer;
        mScheduler =
                RequestScheduler.builder(clock, router, new Outbox())
                        .settings(QueueSettings.builder().build())
                        .attemptPrefix(
                                identity.name()
                                        + "-"
                                        + Long.toString(
                                                identity.incarnation(), Character.MAX_RADIX))
                        .build();
        mThread = DutyThread.start("routing", settings.ringTasks());
        configuration.listen(
                (former, current) ->
                        timer.offerSurely(mThread, () -> mScheduler.configure(current)));
        timer.every(TICK, mThread, mScheduler::tick);
    }

    /**
     * Takes a request into the queue of its model or service.
     *
     * @param request request whose identifier is unique among those of this node
     * @param listener hears exactly one of dispatch and refusal unless the request is cancelled
     */
    public void submit(RouteRequest request, DispatchListener listener) {
        boolean offered =
                mThread.offer(
                        () -> {
                            mListeners.put(request.requestId(), listener);
                            mScheduler.submit(request);
                        });
        if (!offered) {
            listener.onRefused(RefusedException.overloaded("the ring of routing"));
        }
    }

    /** Withdraws a request that may still wait, and forgets its listener. */
    public void forget(String requestId) {
        mTimer.offerSurely(
                mThread,
                () -> {
                    mScheduler.cancel(requestId);
                    mListeners.remove(requestId);
                });
    }

    /** Decides whether a failed attempt is tried again. */
    public CompletableFuture<RetryDecision> decide(FailedAttempt failed) {
        CompletableFuture<RetryDecision> decision = new CompletableFuture<>();
        if (!mThread.offer(() -> decision.complete(mRetries.decide(failed)))) {
            decision.complete(new RetryDecision.GiveUp(ErrorKind.ENDPOINT_FAILED));
        }
        return decision;
    }

    /** Notes the first attempt of a request, when it is sent. */
    public void firstTry(String clientAccount, String endpoint) {
        mThread.offer(() -> mRetries.firstTry(clientAccount, endpoint));
    }

    /** Notes the first token of an attempt. */
    public void firstTokenArrived(String attemptId) {
        mThread.offer(() -> mScheduler.firstTokenArrived(attemptId));
    }

    /** Ends the count of an attempt. */
    public void attemptEnded(String attemptId, AttemptOutcome end, int generatedTokens) {
        mTimer.offerSurely(mThread, () -> mScheduler.attemptEnded(attemptId, end, generatedTokens));
    }

    /** Takes in a load report. */
    public void loadReported(EndpointName endpoint, LoadReport report) {
        mThread.offer(() -> mScheduler.loadReported(endpoint, report));
    }

    /** Takes in cache events. */
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        mThread.offer(() -> mRouter.cacheChanged(endpoint, events));
    }

    /** Takes in whether an endpoint is up, down or leaving. */
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mThread.offer(() -> mScheduler.endpointChanged(endpoint, state));
    }

    /** Refuses what is new from now on; what waits and runs goes on. */
    public void stopAccepting() {
        mThread.offer(mScheduler::stopAccepting);
    }

    @Override
    public void close() {
        mThread.close();
    }

    /** Hands what the scheduler wants done to the listeners of requests. */
    private final class Outbox implements SchedulerOutbox {
        @Override
        public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
            tell(attempt.request(), listener -> listener.onDispatch(attempt, decision));
        }

        @Override
        public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
            tell(
                    request,
                    listener ->
                            listener.onRefused(
                                    RefusedException.withRetryAfter(
                                            kind,
                                            "no endpoint can take the request in time",
                                            retryAfterSeconds)));
        }

        @Override
        public void preempt(Attempt attempt) {
            tell(attempt.request(), listener -> listener.onPreempted(attempt));
        }

        private void tell(RouteRequest request, Consumer<DispatchListener> event) {
            DispatchListener listener = mListeners.get(request.requestId());
            if (listener != null) {
                event.accept(listener);
            }
        }
    }
}
