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
 * Takes requests and sends each to an endpoint as soon as one has room, or refuses it early.
 *
 * <p>Confined to one thread, which also delivers all events. Every request that is submitted leads
 * to exactly one of dispatch and refusal, unless it is cancelled while it waits. A refused request
 * is never dispatched.
 *
 * <pre>{@code
 * RequestScheduler scheduler =
 *         RequestScheduler.builder(clock, router, outbox).attemptPrefix("vm-3-1718").build();
 * duty.offer(() -> scheduler.configure(configuration));
 * duty.offer(() -> scheduler.loadReported(endpoint, report));
 * duty.offer(() -> scheduler.submit(request));      // leads to outbox.dispatch(attempt, decision)
 * duty.offer(() -> scheduler.firstTokenArrived(attempt.attemptId()));
 * duty.offer(() -> scheduler.attemptEnded(attempt.attemptId(), AttemptEnd.FINISHED, 87));
 * timer.every(Duration.ofMillis(50), () -> duty.offer(scheduler::tick));
 * // A failed attempt that may be retried is submitted again, with what is known of it:
 * scheduler.submit(request.toBuilder().excluded(Set.of(endpoint)).begun(true).build());
 * // Graceful shutdown: refuses what is new, goes on with what waits and runs.
 * scheduler.stopAccepting();
 * scheduler.isIdle();
 * }</pre>
 */
public final class RequestScheduler {
    private static final int LARGEST_RETRY_SECONDS = 60;
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final double DEFAULT_WEIGHT = 1;

    private final Clock mClock;
    private final Router mRouter;
    private final SchedulerOutbox mOutbox;
    private final QueueSettings mSettings;
    private final String mAttemptPrefix;
    private final AccountOrder mOrder;
    private final RefusalRule mRefusalRule;
    private final Preemption mPreemption;
    private final Map<String, FairQueue> mQueues = new HashMap<>();
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
        mPreemption = new Preemption(mRouter, mSettings);
    }

    /** Returns a builder. */
    public static Builder builder(Clock clock, Router router, SchedulerOutbox outbox) {
        return new Builder(clock, router, outbox);
    }

    /**
     * Takes a request, whose identifier is unique among those of this node.
     *
     * @throws IllegalArgumentException when a request of the same identifier waits
     */
    public void submit(RouteRequest request) {
        if (mWaiting.containsKey(request.requestId())) {
            throw new IllegalArgumentException(
                    "expected a new request but " + request.requestId() + " waits already");
        }
        if (mStopping && !request.mayHaveBegun()) {
            refuse(request, ErrorKind.STOPPING, 1);
            return;
        }
        long now = mClock.millis();
        QueuedRequest queued = QueuedRequest.of(request, mSettings, now);
        if (mWaiting.size() >= mSettings.maximumTotal() && !queued.mayNotBeRefused()) {
            refuse(request, ErrorKind.OVERLOADED, 1);
            return;
        }
        enqueue(queued, now);
    }

    /**
     * Withdraws a request that waits.
     *
     * @return whether it waited; it has then not been dispatched and won't be
     */
    public boolean cancel(String requestId) {
        QueuedRequest queued = mWaiting.remove(requestId);
        if (queued == null) {
            return false;
        }
        FairQueue queue = mQueues.get(queued.request().target().name());
        queue.remove(queued);
        queue.noteBacklog(mClock.millis());
        return true;
    }

    /** Notes that the first token of an attempt arrived. */
    public void firstTokenArrived(String attemptId) {
        RunningAttempt running = mRunning.get(attemptId);
        if (running != null) {
            running.firstToken(mClock.millis());
            mRouter.firstTokenArrived(attemptId);
        }
    }

    /**
     * Ends an attempt; a second end of the same attempt is ignored.
     *
     * @param attemptId identifier of the attempt
     * @param end how it ended
     * @param generatedTokens tokens of the answer that arrived
     */
    public void attemptEnded(String attemptId, AttemptOutcome end, int generatedTokens) {
        RunningAttempt running = mRunning.remove(attemptId);
        if (running == null) {
            return;
        }
        double pace = running.pace(generatedTokens, mClock.millis());
        if (pace > 0) {
            mRouter.paceObserved(attemptId, pace);
        }
        mRouter.attemptEnded(attemptId, end);
        mPreemption.ended(running);
        settle(running, end, generatedTokens);
        drainTargetsOn(running.attempt().endpoint());
    }

    /** Replaces the listed endpoints, accounts and plans. */
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

    /** Takes in a load report. */
    public void loadReported(EndpointName endpoint, LoadReport report) {
        mRouter.loadReported(endpoint, report);
        drainTargetsOn(endpoint);
    }

    /** Takes in cache events. */
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        mRouter.cacheChanged(endpoint, events);
    }

    /** Takes in whether an endpoint is up, down or leaving. */
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        mRouter.endpointChanged(endpoint, state);
        drainTargetsOn(endpoint);
    }

    /** Refuses requests past their deadlines and tries those that wait; called often. */
    public void tick() {
        long now = mClock.millis();
        for (FairQueue queue : mQueues.values()) {
            for (QueuedRequest expired : queue.expired(now)) {
                queue.remove(expired);
                drop(expired, ErrorKind.DEADLINE_UNREACHABLE, 1);
            }
        }
        forgetEndlessAttempts(now);
        drainAll();
        mQueues.values().removeIf(queue -> queue.size() == 0 && !queue.hasAccounts());
    }

    /** Refuses new requests from now on; those that wait or run go on. */
    public void stopAccepting() {
        mStopping = true;
    }

    /** Returns whether nothing waits or runs. */
    public boolean isIdle() {
        return mWaiting.isEmpty() && mRunning.isEmpty();
    }

    /** Returns the number of requests that wait. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns the number of attempts in flight. */
    public int running() {
        return mRunning.size();
    }

    private void enqueue(QueuedRequest queued, long now) {
        String target = queued.request().target().name();
        FairQueue queue =
                mQueues.computeIfAbsent(
                        target, unused -> new FairQueue(mSettings, this::weight, mOrder));
        mWaiting.put(queued.request().requestId(), queued);
        Optional<QueuedRequest> victim = queue.add(queued);
        victim.ifPresent(refused -> drop(refused, ErrorKind.OVERLOADED, 1));
        drain(target, queue);
        refuseIfHopeless(queue, queued, now);
    }

    private void refuseIfHopeless(FairQueue queue, QueuedRequest queued, long now) {
        boolean waits = mWaiting.get(queued.request().requestId()) == queued;
        if (!waits || queued.mayNotBeRefused()) {
            return;
        }
        double wait = queue.expectedWaitMilliseconds(queued, now);
        double late = now + wait - queued.deadlineMilliseconds();
        if (late > 0) {
            queue.remove(queued);
            queue.noteBacklog(now);
            int seconds = (int) Math.ceil(late / MILLISECONDS_PER_SECOND);
            drop(
                    queued,
                    ErrorKind.DEADLINE_UNREACHABLE,
                    Math.max(1, Math.min(LARGEST_RETRY_SECONDS, seconds)));
        }
    }

    /** Ends attempts, the oldest first, whose ends were lost on the way to this scheduler. */
    private void forgetEndlessAttempts(long now) {
        while (!mRunning.isEmpty()) {
            RunningAttempt oldest = mRunning.values().iterator().next();
            if (!oldest.hasRunFor(mSettings.attemptMilliseconds(), now)) {
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
            FairQueue queue = mQueues.get(target);
            if (queue != null) {
                drain(target, queue);
            }
        }
    }

    private void drainAll() {
        List<Map.Entry<String, FairQueue>> queues = new ArrayList<>(mQueues.entrySet());
        for (Map.Entry<String, FairQueue> queue : queues) {
            drain(queue.getKey(), queue.getValue());
        }
    }

    private void drain(String target, FairQueue queue) {
        while (queue.size() > 0 && placeOne(target, queue)) {}
        queue.noteBacklog(mClock.millis());
    }

    /** Places or refuses one request; returns whether it is worth trying the next. */
    private boolean placeOne(String target, FairQueue queue) {
        long now = mClock.millis();
        boolean batchHasRoom = true;
        for (QueuedRequest head : queue.heads(now)) {
            if (head.isBatch() && !batchHasRoom) {
                continue;
            }
            RoutingDecision decision = mRouter.choose(head.request());
            if (!(decision instanceof RoutingDecision.Await)) {
                apply(queue, head, decision, now);
                return true;
            }
            if (awaitsLikeAll(head.request())) {
                batchHasRoom = false;
                if (!head.isBatch()) {
                    makeRoom(head, now);
                    return false;
                }
            }
        }
        return false;
    }

    private void apply(FairQueue queue, QueuedRequest head, RoutingDecision decision, long now) {
        if (decision instanceof RoutingDecision.Dispatch dispatch) {
            start(queue, head, dispatch, now);
        } else if (decision instanceof RoutingDecision.Refuse refuse) {
            queue.remove(head);
            drop(head, refuse.kind(), refuse.retryAfterSeconds());
        }
    }

    /** Returns whether no other request of the same target and class could be placed instead. */
    private static boolean awaitsLikeAll(RouteRequest request) {
        return !request.isIsolated() && request.excludedEndpoints().isEmpty();
    }

    private void makeRoom(QueuedRequest head, long now) {
        if (head.isLate(mSettings, now)) {
            return;
        }
        mPreemption.victimFor(head, now).ifPresent(running -> mOutbox.preempt(running.attempt()));
    }

    private void start(
            FairQueue queue, QueuedRequest queued, RoutingDecision.Dispatch dispatch, long now) {
        queue.serve(queued, now);
        mWaiting.remove(queued.request().requestId());
        long number = mNextAttempt++;
        Attempt attempt =
                new Attempt(mAttemptPrefix + "-" + number, dispatch.endpoint(), queued.request());
        RunningAttempt running = new RunningAttempt(number, attempt, queued, now);
        mRunning.put(attempt.attemptId(), running);
        mPreemption.started(running);
        mRouter.attemptStarted(attempt);
        mOutbox.dispatch(attempt, dispatch);
    }

    private void settle(RunningAttempt running, AttemptOutcome end, int generatedTokens) {
        RouteRequest request = running.attempt().request();
        FairQueue queue = mQueues.get(request.target().name());
        if (queue == null) {
            return;
        }
        boolean began = end != AttemptOutcome.NOT_STARTED && end != AttemptOutcome.UNREACHABLE;
        long used = began ? (long) request.promptTokens() + generatedTokens : 0;
        long correction = used - running.queued().tokens();
        queue.settle(request.workClass(), request.clientAccount(), correction);
    }

    private void drop(QueuedRequest queued, ErrorKind kind, int retryAfterSeconds) {
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
        private AccountOrder mOrder = new LeastServedOrder();
        private RefusalRule mRefusalRule = RefusalRule.TRUTHFUL;

        private Builder(Clock clock, Router router, SchedulerOutbox outbox) {
            mClock = Objects.requireNonNull(clock, "clock");
            mRouter = Objects.requireNonNull(router, "router");
            mOutbox = Objects.requireNonNull(outbox, "outbox");
        }

        /** Sets the bounds and times. */
        public Builder settings(QueueSettings settings) {
            mSettings = Objects.requireNonNull(settings, "settings");
            return this;
        }

        /** Sets the start of all attempt identifiers, unique to this start of this node. */
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
