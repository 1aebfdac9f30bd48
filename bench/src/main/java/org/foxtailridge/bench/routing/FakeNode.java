package org.foxtailridge.bench.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.execution.retry.AttemptProgress;
import org.foxtailridge.execution.retry.FailedAttempt;
import org.foxtailridge.execution.retry.RetryDecision;
import org.foxtailridge.execution.retry.RetryPolicy;
import org.foxtailridge.execution.retry.RetrySettings;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.EnginePriority;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.Router;

/** One node: sends attempts to engines as its policy decides, and retries. */
final class FakeNode implements EngineWork.Listener {
    private static final long NEAR_MICROSECONDS = 500;
    private static final long FAR_MICROSECONDS = 2_000;
    private static final long BROKEN_MICROSECONDS = 50_000;
    private static final long TICK_MICROSECONDS = 50_000;
    private static final long BATCH_DEADLINE_SECONDS = 60;
    private static final long PATIENCE_SECONDS = 10;

    private final EventQueue mEvents;
    private final String mDataCentre;
    private final Map<EndpointName, FakeEngine> mEngines;
    private final AdapterStore mAdapters;
    private final RetryPolicy mRetries;
    private final Dispatcher mDispatcher;
    private final Map<String, Journey> mJourneys = new HashMap<>();
    private final Map<EngineWork, Attempt> mAttempts = new HashMap<>();
    private final Map<String, EngineWork> mWorks = new HashMap<>();
    private long mNextWork;
    private int mRetried;
    private int mPreempted;

    FakeNode(
            EventQueue events,
            int index,
            String dataCentre,
            Map<EndpointName, FakeEngine> engines,
            AdapterStore adapters,
            Policy policy) {
        mEvents = events;
        mDataCentre = dataCentre;
        mEngines = engines;
        mAdapters = adapters;
        mRetries = RetryPolicy.create(events, RetrySettings.builder().build(), index);
        Router router = policy.router(events, index);
        mDispatcher =
                policy.queues()
                        ? new QueueingDispatcher(events, router, this)
                        : new DirectDispatcher(router, this);
        if (policy.queues()) {
            tick();
        }
    }

    private void tick() {
        mDispatcher.tick();
        mEvents.after(TICK_MICROSECONDS, this::tick);
    }

    void configure(Configuration configuration) {
        mDispatcher.configure(configuration);
    }

    void report(EndpointName endpoint, LoadReport report) {
        mDispatcher.report(endpoint, report);
    }

    void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        mDispatcher.cacheChanged(endpoint, events);
    }

    void endpointChanged(EndpointName endpoint, EndpointState state) {
        mDispatcher.endpointChanged(endpoint, state);
    }

    int retried() {
        return mRetried;
    }

    int preempted() {
        return mPreempted;
    }

    void submit(Journey journey) {
        String id = "request-" + journey.number();
        mJourneys.put(id, journey);
        RouteRequest.Builder builder =
                RouteRequest.builder(
                                id,
                                new RouteTarget.ModelTarget(
                                        journey.model(), "v1", journey.adapter()))
                        .clientAccount("account-" + journey.account())
                        .workClass(journey.workClass())
                        .prefixes(journey.prefixes())
                        .promptTokens(journey.promptTokens())
                        .maximumTokens(journey.maximumTokens());
        if (!journey.isInteractive()) {
            builder.deadline(mEvents.instant().plusSeconds(BATCH_DEADLINE_SECONDS));
        }
        mDispatcher.submit(builder.build());
    }

    /** Sends an attempt to its engine. */
    void send(Attempt attempt) {
        Journey journey = mJourneys.get(attempt.request().requestId());
        FakeEngine engine = mEngines.get(attempt.endpoint());
        journey.tried();
        if (journey.tries() == 1) {
            mRetries.firstTry(attempt.request().clientAccount(), attempt.endpoint().value());
        }
        int priority = EnginePriority.of(attempt.request().workClass());
        EngineWork work = new EngineWork(mNextWork++, priority, journey, this);
        mAttempts.put(work, attempt);
        mWorks.put(attempt.attemptId(), work);
        mEvents.after(distance(engine), () -> arrive(engine, work));
    }

    /** Cancels an attempt at its engine and submits the rest. */
    void preempt(Attempt attempt) {
        FakeEngine engine = mEngines.get(attempt.endpoint());
        EngineWork work = mWorks.get(attempt.attemptId());
        mEvents.after(
                distance(engine),
                () -> {
                    if (work != null && engine.cancel(work)) {
                        mPreempted++;
                        mEvents.after(distance(engine), () -> preempted(work));
                    }
                });
    }

    /** Answers the caller with a refusal or failure. */
    void refuse(RouteRequest request, ErrorKind kind) {
        Journey journey = mJourneys.remove(request.requestId());
        if (ErrorTable.answerTo(kind).executionStarted() == ExecutionStarted.NO) {
            journey.refuse();
        } else {
            journey.breakOff();
        }
    }

    private void arrive(FakeEngine engine, EngineWork work) {
        if (!engine.isUp()) {
            endLater(engine, work, AttemptOutcome.UNREACHABLE);
        } else if (engine.isFull()) {
            endLater(engine, work, AttemptOutcome.NOT_STARTED);
        } else if (engine.hasAdapter(work.journey().adapter())) {
            engine.accept(work);
        } else {
            long incarnation = engine.incarnation();
            mAdapters.load(() -> adapterLoaded(engine, work, incarnation));
        }
    }

    private void adapterLoaded(FakeEngine engine, EngineWork work, long incarnation) {
        if (engine.incarnation() != incarnation || !engine.isUp()) {
            endLater(engine, work, AttemptOutcome.UNREACHABLE);
            return;
        }
        engine.loadAdapter(work.journey().model(), work.journey().adapter().get());
        engine.accept(work);
    }

    @Override
    public boolean token(EngineWork work) {
        Journey journey = work.journey();
        FakeEngine engine = mEngines.get(mAttempts.get(work).endpoint());
        long arrival = mEvents.nowMicroseconds() + distance(engine);
        journey.token(arrival);
        if (work.tokens() == 1) {
            String attemptId = mAttempts.get(work).attemptId();
            mEvents.at(arrival, () -> mDispatcher.firstToken(attemptId));
        }
        if (!journey.isAnswered()) {
            return false;
        }
        journey.end(arrival);
        mEvents.at(arrival, () -> end(work, AttemptOutcome.FINISHED));
        return true;
    }

    @Override
    public void lost(EngineWork work) {
        mEvents.after(BROKEN_MICROSECONDS, () -> end(work, AttemptOutcome.FAILED));
    }

    private void endLater(FakeEngine engine, EngineWork work, AttemptOutcome end) {
        mEvents.after(distance(engine), () -> end(work, end));
    }

    private void preempted(EngineWork work) {
        Attempt attempt = forget(work);
        mDispatcher.ended(attempt.attemptId(), AttemptOutcome.CANCELLED, work.tokens());
        mDispatcher.submit(attempt.request().afterPreemption(work.tokens()));
    }

    private Attempt forget(EngineWork work) {
        Attempt attempt = mAttempts.remove(work);
        mWorks.remove(attempt.attemptId());
        return attempt;
    }

    private void end(EngineWork work, AttemptOutcome end) {
        Attempt attempt = forget(work);
        mDispatcher.ended(attempt.attemptId(), end, work.tokens());
        if (end == AttemptOutcome.FINISHED) {
            mJourneys.remove(attempt.request().requestId());
            return;
        }
        RouteRequest request = attempt.request();
        boolean began = end == AttemptOutcome.FAILED;
        RetryDecision decision = mRetries.decide(failed(attempt, work, began));
        if (decision instanceof RetryDecision.Retry retry) {
            mRetried += began ? 1 : 0;
            RouteRequest again =
                    request.toBuilder()
                            .excludedEndpoints(Set.of(attempt.endpoint()))
                            .mayHaveBegun(request.mayHaveBegun() || began)
                            .promptTokens(request.promptTokens() + work.tokens())
                            .maximumTokens(Math.max(0, request.maximumTokens() - work.tokens()))
                            .build();
            long delay = retry.delay().toNanos() / 1_000;
            mEvents.after(delay, () -> mDispatcher.submit(again));
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            refuse(request, giveUp.kind());
        }
    }

    private FailedAttempt failed(Attempt attempt, EngineWork work, boolean began) {
        Journey journey = work.journey();
        Instant deadline =
                Instant.EPOCH
                        .plusMillis(journey.arrival() / 1_000)
                        .plusSeconds(
                                journey.isInteractive()
                                        ? PATIENCE_SECONDS
                                        : BATCH_DEADLINE_SECONDS);
        return new FailedAttempt(
                attempt.request().clientAccount(),
                attempt.endpoint().value(),
                true,
                began ? AttemptProgress.MAY_HAVE_BEGUN : AttemptProgress.NOT_BEGUN,
                attempt.request().mayHaveBegun(),
                Math.max(1, journey.tries() - attempt.request().preemptionCount()),
                deadline,
                ErrorKind.ENDPOINT_FAILED);
    }

    private long distance(FakeEngine engine) {
        return engine.dataCentre().equals(mDataCentre) ? NEAR_MICROSECONDS : FAR_MICROSECONDS;
    }

    /** How a node decides. */
    interface Dispatcher {
        void submit(RouteRequest request);

        void firstToken(String attemptId);

        void ended(String attemptId, AttemptOutcome end, int tokens);

        void configure(Configuration configuration);

        void report(EndpointName endpoint, LoadReport report);

        void cacheChanged(EndpointName endpoint, CacheEventBatch events);

        void endpointChanged(EndpointName endpoint, EndpointState state);

        void tick();
    }
}
