package org.foxtailridge.routing.queue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Plan;
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

/**
 * Queues requests and dispatches each as soon as an endpoint has capacity, or refuses it early.
 *
 * <p>Confined to one thread, which also delivers all events. Every submitted request leads to
 * exactly one dispatch or refusal, unless it is cancelled while it waits. A refused request is
 * never dispatched. Refusals happen when the scheduler stops, a queue is full, no endpoint can
 * serve the request, or the deadline can't be met.
 *
 * <pre>{@code
 * RequestScheduler scheduler =
 *         RequestScheduler.builder(clock, router, outbox).attemptPrefix("vm-3-1718").build();
 * duty.offer(() -> scheduler.configure(configuration));
 * duty.offer(() -> scheduler.loadReported(endpoint, report));
 * duty.offer(() -> scheduler.submit(request));      // leads to outbox.dispatch(attempt, decision)
 * duty.offer(() -> scheduler.firstTokenArrived(attempt.attemptId()));
 * duty.offer(() -> scheduler.attemptEnded(attempt.attemptId(), AttemptOutcome.FINISHED, 87));
 * timer.every(Duration.ofMillis(50), () -> duty.offer(scheduler::tick));
 * // A failed attempt that may be retried is submitted again without the failed endpoint:
 * scheduler.submit(
 *         request.toBuilder()
 *                 .excludedEndpoints(Set.of(endpoint))
 *                 .mayHaveBegun(true)
 *                 .build());
 * // Graceful shutdown: refuses new requests, completes waiting and running ones.
 * scheduler.stopAccepting();
 * scheduler.isIdle();
 * }</pre>
 */
public final class RequestScheduler {
    private static final int MAXIMUM_RETRY_AFTER_SECONDS = 60;
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final double DEFAULT_WEIGHT = 1;

    private final Clock mClock;
    private final Router mRouter;
    private final SchedulerOutbox mOutbox;
    private final QueueSettings mSettings;
    private final String mAttemptPrefix;
    private final AccountOrder mOrder;
    private final RefusalRule mRefusalRule;
    private final PreemptionPolicy mPreemptionPolicy;
    private final Map<String, TargetQueue> mQueues = new HashMap<>();
    private final Map<String, QueuedRequest> mWaiting = new HashMap<>();
    private final Map<String, RunningAttempt> mRunning = new LinkedHashMap<>();
    private final Map<String, Double> mWeights = new HashMap<>();
    private long mNextAttempt;
    private boolean mStopping;

    private RequestScheduler(Builder builder) {
        mClock = builder.mClock;
        mRouter = builder.mRouter;
        mOutbox = builder.mOutbox;
        mSettings = builder.mSettings;
        mAttemptPrefix = builder.mAttemptPrefix;
        mOrder = builder.mOrder;
        mRefusalRule = builder.mRefusalRule;
        mPreemptionPolicy = new PreemptionPolicy(mRouter, mSettings);
    }

    /**
     * Returns a builder.
     *
     * @param clock clock of the node
     * @param router chooses the endpoints; receives its events through the scheduler
     * @param outbox receives dispatches, refusals and preemptions
     */
    public static Builder builder(Clock clock, Router router, SchedulerOutbox outbox) {
        return new Builder(clock, router, outbox);
    }

    /**
     * Dispatches, queues or refuses a request.
     *
     * @param request the request, with an identifier unique among the waiting requests of this node
     * @throws IllegalArgumentException when a request with the same identifier is already waiting
     */
    public void submit(RouteRequest request) {
        if (mWaiting.containsKey(request.requestId())) {
            throw new IllegalArgumentException(
                    "expected a new request but " + request.requestId() + " is already queued");
        }
        if (mStopping && !request.mayHaveBegun()) {
            refuse(request, ErrorKind.STOPPING, 1);
            return;
        }
        long now = mClock.millis();
        QueuedRequest queued = QueuedRequest.of(request, mSettings, now);
        if (mWaiting.size() >= mSettings.maximumTotal() && !queued.mayHaveBegun()) {
            refuse(request, ErrorKind.OVERLOADED, 1);
            return;
        }
        enqueue(queued, now);
    }

    /**
     * Removes a waiting request.
     *
     * @return whether the request was waiting; if so, it was not and won't be dispatched
     */
    public boolean cancel(String requestId) {
        QueuedRequest queued = mWaiting.remove(requestId);
        if (queued == null) {
            return false;
        }
        TargetQueue queue = mQueues.get(queued.request().target().name());
        queue.remove(queued);
        queue.updateBacklog(mClock.millis());
        return true;
    }

    /** Reports that the first token of an attempt has arrived; ignored for unknown attempts. */
    public void firstTokenArrived(String attemptId) {
        RunningAttempt running = mRunning.get(attemptId);
        if (running != null) {
            running.recordFirstToken(mClock.millis());
            mRouter.firstTokenArrived(attemptId);
        }
    }

    /**
     * Ends an attempt, frees its capacity and corrects the charge of its client account. A second
     * end of the same attempt is ignored.
     *
     * @param attemptId identifier of the attempt
     * @param outcome outcome of the attempt
     * @param generatedTokens tokens of the answer received so far
     */
    public void attemptEnded(String attemptId, AttemptOutcome outcome, int generatedTokens) {
        RunningAttempt running = mRunning.remove(attemptId);
        if (running == null) {
            return;
        }
        double millisecondsBetweenTokens =
                running.meanMillisecondsBetweenTokens(generatedTokens, mClock.millis());
        if (millisecondsBetweenTokens > 0) {
            mRouter.timeBetweenTokensObserved(attemptId, millisecondsBetweenTokens);
        }
        mRouter.attemptEnded(attemptId, outcome);
        mPreemptionPolicy.ended(running);
        adjustCharge(running, outcome, generatedTokens);
        drainTargetsOn(running.attempt().endpoint());
    }

    /**
     * Replaces the configured endpoints, client accounts and plans. The weight of an account is the
     * token rate of its plan; at least 1.
     */
    public void configure(Configuration configuration) {
        mWeights.clear();
        for (ClientAccount account : configuration.all(ClientAccount.class)) {
            double rate =
                    configuration
                            .find(Plan.class, account.plan())
                            .map(plan -> (double) plan.rateTokensPerSecond())
                            .orElse(DEFAULT_WEIGHT);
            mWeights.put(account.name(), Math.max(DEFAULT_WEIGHT, rate));
        }
        mRouter.configure(configuration);
        drainAll();
    }

    /** Applies a load report of an endpoint and dispatches requests that it has capacity for. */
    public void loadReported(EndpointName endpoint, LoadReport report) {
        mRouter.loadReported(endpoint, report);
        drainTargetsOn(endpoint);
    }

    /** Applies cache events of an endpoint. */
    public void cacheChanged(EndpointName endpoint, CacheEventBatch batch) {
        mRouter.cacheChanged(endpoint, batch);
    }

    /** Applies a change of an endpoint's state and dispatches requests that can run there. */
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mRouter.endpointChanged(endpoint, state);
        drainTargetsOn(endpoint);
    }

    /**
     * Refuses requests past their deadlines, ends attempts past the attempt timeout, and tries to
     * dispatch waiting requests. To be called periodically, such as every 50 ms.
     */
    public void tick() {
        long now = mClock.millis();
        for (TargetQueue queue : mQueues.values()) {
            for (QueuedRequest expired : queue.expired(now)) {
                queue.remove(expired);
                removeAndRefuse(expired, ErrorKind.DEADLINE_UNREACHABLE, 1);
            }
        }
        endTimedOutAttempts(now);
        drainAll();
        mQueues.values().removeIf(queue -> queue.size() == 0 && !queue.hasAccounts());
    }

    /**
     * Refuses new requests from now on, except those that may have begun; waiting and running
     * requests are completed.
     */
    public void stopAccepting() {
        mStopping = true;
    }

    /** Returns whether no request waits and no attempt is in flight. */
    public boolean isIdle() {
        return mWaiting.isEmpty() && mRunning.isEmpty();
    }

    /** Returns the number of waiting requests, in all queues. */
    public int waitingCount() {
        return mWaiting.size();
    }

    /** Returns the number of attempts in flight. */
    public int runningCount() {
        return mRunning.size();
    }

    private void enqueue(QueuedRequest queued, long now) {
        String target = queued.request().target().name();
        TargetQueue queue =
                mQueues.computeIfAbsent(
                        target, unused -> new TargetQueue(mSettings, this::weight, mOrder));
        mWaiting.put(queued.request().requestId(), queued);
        Optional<QueuedRequest> victim = queue.add(queued);
        victim.ifPresent(refused -> removeAndRefuse(refused, ErrorKind.OVERLOADED, 1));
        drain(target, queue);
        refuseIfDeadlineUnreachable(queue, queued, now);
    }

    /**
     * Refuses a request early when its expected wait exceeds its deadline. The retry time is the
     * excess, rounded up, from 1 to {@link #MAXIMUM_RETRY_AFTER_SECONDS} seconds.
     */
    private void refuseIfDeadlineUnreachable(TargetQueue queue, QueuedRequest queued, long now) {
        boolean waits = mWaiting.get(queued.request().requestId()) == queued;
        if (!waits || queued.mayHaveBegun()) {
            return;
        }
        double waitMilliseconds = queue.expectedWaitMilliseconds(queued, now);
        double lateMilliseconds = now + waitMilliseconds - queued.deadlineMilliseconds();
        if (lateMilliseconds > 0) {
            queue.remove(queued);
            queue.updateBacklog(now);
            int seconds = (int) Math.ceil(lateMilliseconds / MILLISECONDS_PER_SECOND);
            removeAndRefuse(
                    queued,
                    ErrorKind.DEADLINE_UNREACHABLE,
                    Math.max(1, Math.min(MAXIMUM_RETRY_AFTER_SECONDS, seconds)));
        }
    }

    /** Ends attempts past the attempt timeout, oldest first; the events of their ends were lost. */
    private void endTimedOutAttempts(long now) {
        while (!mRunning.isEmpty()) {
            RunningAttempt oldest = mRunning.values().iterator().next();
            if (!oldest.hasRunFor(mSettings.attemptTimeoutMilliseconds(), now)) {
                return;
            }
            attemptEnded(oldest.attempt().attemptId(), AttemptOutcome.CANCELLED, 0);
        }
    }

    private void drainTargetsOn(EndpointName endpoint) {
        if (mWaiting.isEmpty()) {
            return;
        }
        Set<String> targets = new HashSet<>(mRouter.targetsOn(endpoint));
        for (String target : targets) {
            TargetQueue queue = mQueues.get(target);
            if (queue != null) {
                drain(target, queue);
            }
        }
    }

    private void drainAll() {
        List<Map.Entry<String, TargetQueue>> queues = new ArrayList<>(mQueues.entrySet());
        for (Map.Entry<String, TargetQueue> queue : queues) {
            drain(queue.getKey(), queue.getValue());
        }
    }

    private void drain(String target, TargetQueue queue) {
        while (queue.size() > 0 && placeNext(target, queue)) {}
        queue.updateBacklog(mClock.millis());
    }

    /**
     * Dispatches or refuses the first head for which the router doesn't answer {@link
     * RoutingDecision.Await}. Returns whether there was one; the caller then tries the next. When
     * an unconstrained batch request must wait, all other batch requests of the target would wait
     * as well and are skipped. When an unconstrained interactive request must wait, the search ends
     * and a batch attempt may be preempted for it.
     */
    private boolean placeNext(String target, TargetQueue queue) {
        long now = mClock.millis();
        boolean batchMayFit = true;
        for (QueuedRequest head : queue.heads(now)) {
            if (head.isBatch() && !batchMayFit) {
                continue;
            }
            RoutingDecision decision = mRouter.choose(head.request());
            if (!(decision instanceof RoutingDecision.Await)) {
                applyDecision(queue, head, decision, now);
                return true;
            }
            if (isUnconstrained(head.request())) {
                batchMayFit = false;
                if (!head.isBatch()) {
                    requestPreemption(head, now);
                    return false;
                }
            }
        }
        return false;
    }

    private void applyDecision(
            TargetQueue queue, QueuedRequest head, RoutingDecision decision, long now) {
        if (decision instanceof RoutingDecision.Dispatch dispatch) {
            start(queue, head, dispatch, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            queue.remove(head);
            removeAndRefuse(head, refuse.kind(), refuse.retryAfterSeconds());
        }
    }

    /** Returns whether a request can run on any endpoint of its target. */
    private static boolean isUnconstrained(RouteRequest request) {
        return !request.isIsolated() && request.excludedEndpoints().isEmpty();
    }

    /** Preempts a batch attempt for a request, unless the request is overdue anyway. */
    private void requestPreemption(QueuedRequest head, long now) {
        if (head.isOverdue(mSettings, now)) {
            return;
        }
        mPreemptionPolicy
                .victimFor(head, now)
                .ifPresent(running -> mOutbox.preempt(running.attempt()));
    }

    private void start(
            TargetQueue queue, QueuedRequest queued, RoutingDecision.Dispatch dispatch, long now) {
        queue.serve(queued, now);
        mWaiting.remove(queued.request().requestId());
        long number = mNextAttempt++;
        Attempt attempt =
                new Attempt(mAttemptPrefix + "-" + number, dispatch.endpoint(), queued.request());
        RunningAttempt running = new RunningAttempt(number, attempt, queued, now);
        mRunning.put(attempt.attemptId(), running);
        mPreemptionPolicy.started(running);
        mRouter.attemptStarted(attempt);
        mOutbox.dispatch(attempt, dispatch);
    }

    /** Corrects the charge to the tokens used; nothing was used if the endpoint didn't begin. */
    private void adjustCharge(RunningAttempt running, AttemptOutcome outcome, int generatedTokens) {
        RouteRequest request = running.attempt().request();
        TargetQueue queue = mQueues.get(request.target().name());
        if (queue == null) {
            return;
        }
        boolean began =
                outcome != AttemptOutcome.NOT_STARTED && outcome != AttemptOutcome.UNREACHABLE;
        long used = began ? (long) request.promptTokens() + generatedTokens : 0;
        long correction = used - running.queued().tokens();
        queue.adjustCharge(request.workClass(), request.clientAccount(), correction);
    }

    private void removeAndRefuse(QueuedRequest queued, ErrorKind kind, int retryAfterSeconds) {
        mWaiting.remove(queued.request().requestId());
        refuse(queued.request(), kind, retryAfterSeconds);
    }

    private void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        mOutbox.refuse(request, mRefusalRule.kindFor(request, kind), retryAfterSeconds);
    }

    private double weight(String account) {
        return mWeights.getOrDefault(account, DEFAULT_WEIGHT);
    }

    /** Builds a {@link RequestScheduler}. */
    public static final class Builder {
        private final Clock mClock;
        private final Router mRouter;
        private final SchedulerOutbox mOutbox;
        private QueueSettings mSettings = QueueSettings.builder().build();
        private String mAttemptPrefix = "attempt";
        private AccountOrder mOrder = new LeastVirtualTimeOrder();
        private RefusalRule mRefusalRule = RefusalRule.DEFAULT;

        private Builder(Clock clock, Router router, SchedulerOutbox outbox) {
            mClock = Objects.requireNonNull(clock, "clock");
            mRouter = Objects.requireNonNull(router, "router");
            mOutbox = Objects.requireNonNull(outbox, "outbox");
        }

        /** Sets the bounds and times of the queues. */
        public Builder settings(QueueSettings settings) {
            mSettings = Objects.requireNonNull(settings, "settings");
            return this;
        }

        /**
         * Sets the prefix of all attempt identifiers; "attempt" by default. It must be unique to
         * each start of each node, so that identifiers are unique in the fleet.
         */
        public Builder attemptPrefix(String prefix) {
            mAttemptPrefix = Objects.requireNonNull(prefix, "prefix");
            return this;
        }

        Builder order(AccountOrder order) {
            mOrder = order;
            return this;
        }

        Builder refusalRule(RefusalRule rule) {
            mRefusalRule = rule;
            return this;
        }

        /** Returns the scheduler. */
        public RequestScheduler build() {
            return new RequestScheduler(this);
        }
    }
}
