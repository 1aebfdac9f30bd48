package org.foxtailridge.node.duty;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.thread.DutyThread;
import org.foxtailridge.node.caller.RefusedException;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptEnd;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;

/** Runs the router on a thread of its own; holds requests that have to wait for an endpoint. */
@Singleton
public final class RoutingDuty implements AutoCloseable {
    private static final int MAXIMUM_WAITING = 4096;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);
    private static final Duration TICK = Duration.ofMillis(20);

    private final DutyThread mThread;
    private final Router mRouter;
    private final Clock mClock;
    private List<WaitingRequest> mWaiting = new ArrayList<>();

    /** Creates the duty and starts its thread. */
    @Inject
    public RoutingDuty(
            NodeSettings settings,
            Router router,
            Clock clock,
            ConfigurationView configuration,
            DutyTimer timer) {
        mRouter = router;
        mClock = clock;
        mThread = DutyThread.start("routing", settings.ringTasks());
        configuration.listen((former, current) -> mThread.offer(() -> mRouter.configure(current)));
        timer.every(TICK, mThread, this::retryWaiting);
    }

    /**
     * Chooses an endpoint for an attempt and counts the attempt from then on.
     *
     * @param attemptId identifier of the attempt, unique over all nodes
     * @param request what is to be routed
     * @return where to send it; fails with {@link RefusedException}
     */
    public CompletableFuture<RoutingDecision.Dispatch> dispatch(
            String attemptId, RouteRequest request) {
        CompletableFuture<RoutingDecision.Dispatch> dispatch = new CompletableFuture<>();
        Instant latest = request.deadline().orElse(mClock.instant().plus(LONGEST_WAIT));
        WaitingRequest waiting = new WaitingRequest(attemptId, request, latest, dispatch);
        if (!mThread.offer(() -> chooseOrWait(waiting))) {
            dispatch.completeExceptionally(RefusedException.overloaded("the ring of routing"));
        }
        return dispatch;
    }

    /** Notes the first token of an attempt. */
    public void firstTokenArrived(String attemptId) {
        mThread.offer(() -> mRouter.firstTokenArrived(attemptId));
    }

    /** Ends the count of an attempt. */
    public void attemptEnded(String attemptId, AttemptEnd end) {
        mThread.offer(() -> mRouter.attemptEnded(attemptId, end));
    }

    /** Takes in a load report. */
    public void loadReported(EndpointName endpoint, LoadReport report) {
        mThread.offer(() -> mRouter.loadReported(endpoint, report));
    }

    /** Takes in whether an endpoint is up, down or leaving. */
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mThread.offer(() -> mRouter.endpointChanged(endpoint, state));
    }

    @Override
    public void close() {
        mThread.close();
    }

    private void chooseOrWait(WaitingRequest waiting) {
        if (!tryChoose(waiting)) {
            if (mWaiting.size() >= MAXIMUM_WAITING) {
                waiting.refuse(RefusedException.overloaded("the queue of routing"));
            } else {
                mWaiting.add(waiting);
            }
        }
    }

    private void retryWaiting() {
        List<WaitingRequest> still = new ArrayList<>();
        for (WaitingRequest waiting : mWaiting) {
            if (!tryChoose(waiting)) {
                still.add(waiting);
            }
        }
        mWaiting = still;
    }

    /** Returns whether the request has been decided. */
    private boolean tryChoose(WaitingRequest waiting) {
        RoutingDecision decision = mRouter.choose(waiting.request());
        if (decision instanceof RoutingDecision.Dispatch dispatch) {
            mRouter.attemptStarted(
                    new Attempt(waiting.attemptId(), dispatch.endpoint(), waiting.request()));
            waiting.dispatch().complete(dispatch);
            return true;
        }
        if (decision instanceof RoutingDecision.Refuse refuse) {
            waiting.refuse(
                    RefusedException.withRetryAfter(
                            refuse.kind(),
                            "no endpoint can take the request now",
                            refuse.retryAfterSeconds()));
            return true;
        }
        if (mClock.instant().isAfter(waiting.latest())) {
            waiting.refuse(
                    RefusedException.of(
                            ErrorKind.DEADLINE_UNREACHABLE, "no endpoint was free in time"));
            return true;
        }
        return false;
    }

    private record WaitingRequest(
            String attemptId,
            RouteRequest request,
            Instant latest,
            CompletableFuture<RoutingDecision.Dispatch> dispatch) {
        private void refuse(RefusedException refusal) {
            dispatch.completeExceptionally(refusal);
        }
    }
}
