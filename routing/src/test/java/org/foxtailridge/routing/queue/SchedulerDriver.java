package org.foxtailridge.routing.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;
import org.foxtailridge.core.error.ExecutionStarted;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.routing.Attempt;
import org.foxtailridge.routing.AttemptOutcome;
import org.foxtailridge.routing.EndpointState;
import org.foxtailridge.routing.Fleets;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;
import org.foxtailridge.routing.RoutingDecision;

/**
 * Drives a scheduler with one random interleaving and compares it with a naive list of endpoints
 * and outcomes.
 */
final class SchedulerDriver implements SchedulerOutbox {
    private static final List<String> MODELS = List.of("lots", "notes");
    private static final int ENDPOINTS = 4;
    private static final QueueSettings SETTINGS =
            QueueSettings.builder()
                    .maximumPerTarget(6)
                    .maximumTotal(9)
                    .preemptionWaitMilliseconds(0)
                    .build();

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1000));
    private final UniformRandomProvider mRandom;
    private final Router mRouter;
    private final RequestScheduler mScheduler;
    private final Set<String> mWaiting = new HashSet<>();
    private final Map<String, RouteRequest> mSubmitted = new HashMap<>();
    private final Map<String, Attempt> mRunning = new HashMap<>();
    private final Map<EndpointName, EndpointState> mStates = new HashMap<>();
    private final Map<EndpointName, List<String>> mResidents = new HashMap<>();
    private final Set<EndpointName> mListed = new HashSet<>();
    private final Map<EndpointName, Long> mIncarnations = new HashMap<>();
    private final Set<String> mPreempted = new HashSet<>();
    private final Map<String, Integer> mTallies = new HashMap<>();
    private int mNextRequest;
    private boolean mStopping;

    SchedulerDriver(long seed, Function<ManualClock, Router> routers, RefusalRule rule) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRouter = routers.apply(mClock);
        mScheduler =
                RequestScheduler.builder(mClock, mRouter, this)
                        .settings(SETTINGS)
                        .refusalRule(rule)
                        .build();
    }

    /** Runs one interleaving; returns how often each sort of outcome came up. */
    Map<String, Integer> run(int steps) {
        configure(ENDPOINTS);
        for (int step = 0; step < steps; step++) {
            step();
            check();
        }
        finish();
        return mTallies;
    }

    private void tally(String outcome) {
        mTallies.merge(outcome, 1, Integer::sum);
    }

    private void step() {
        switch (mRandom.nextInt(14)) {
            case 0, 1, 2, 3 -> submit();
            case 4, 5, 6 -> endSome();
            case 7 -> report(anyEndpoint());
            case 8 -> changeState(anyEndpoint());
            case 9 -> configure(1 + mRandom.nextInt(ENDPOINTS));
            case 10 -> cancelSome();
            case 11, 12 -> tick(mRandom.nextInt(400));
            default -> mStopping |= mRandom.nextInt(40) == 0 && stop();
        }
    }

    private boolean stop() {
        mScheduler.stopAccepting();
        return true;
    }

    private void submit() {
        String id = "request-" + mNextRequest++;
        RouteRequest.Builder builder =
                Fleets.request(id, MODELS.get(mRandom.nextInt(MODELS.size())))
                        .clientAccount("account-" + mRandom.nextInt(3))
                        .workClass(WorkClass.values()[mRandom.nextInt(3)])
                        .mayHaveBegun(mRandom.nextInt(5) == 0)
                        .isolated(mRandom.nextInt(10) == 0);
        if (mRandom.nextInt(4) == 0) {
            builder.excludedEndpoints(Set.of(anyEndpoint()));
        }
        if (mRandom.nextInt(3) == 0) {
            builder.deadline(mClock.instant().plusMillis(mRandom.nextInt(3000)));
        }
        submit(builder.build());
    }

    private void submit(RouteRequest request) {
        mSubmitted.put(request.requestId(), request);
        mWaiting.add(request.requestId());
        mScheduler.submit(request);
        if (mStopping && !request.mayHaveBegun()) {
            assertThat(mWaiting).as("refused while stopping").doesNotContain(request.requestId());
            assertThat(mRunning.values()).noneMatch(attempt -> attempt.request() == request);
        }
    }

    private void endSome() {
        if (mRunning.isEmpty()) {
            return;
        }
        List<String> ids = mRunning.keySet().stream().sorted().toList();
        AttemptOutcome end =
                AttemptOutcome.values()[mRandom.nextInt(AttemptOutcome.values().length)];
        end(ids.get(mRandom.nextInt(ids.size())), end);
    }

    private void end(String id, AttemptOutcome end) {
        Attempt attempt = mRunning.remove(id);
        mScheduler.firstTokenArrived(id);
        mScheduler.attemptEnded(id, end, 5);
        mScheduler.attemptEnded(id, AttemptOutcome.FINISHED, 5);
        if (mPreempted.remove(id)) {
            submit(attempt.request().afterPreemption(5));
        }
    }

    private void report(EndpointName endpoint) {
        if (!mListed.contains(endpoint)) {
            return;
        }
        long incarnation = mIncarnations.getOrDefault(endpoint, 1L);
        if (mRandom.nextInt(8) == 0) {
            mIncarnations.put(endpoint, ++incarnation);
        }
        List<String> models = MODELS.subList(mRandom.nextInt(2), MODELS.size());
        mResidents.put(endpoint, models);
        int running = mRandom.nextInt(3);
        mScheduler.loadReported(
                endpoint,
                Fleets.report(incarnation, mClock.millis(), running, mRandom.nextInt(6), models));
        mScheduler.loadReported(
                endpoint, Fleets.report(incarnation, mClock.millis() - 500, 9, 9, List.of()));
    }

    private void changeState(EndpointName endpoint) {
        EndpointState state = EndpointState.values()[mRandom.nextInt(3)];
        if (mListed.contains(endpoint)) {
            mStates.put(endpoint, state);
        }
        mScheduler.endpointChanged(endpoint, state);
    }

    private void configure(int endpoints) {
        Configuration.Builder builder = Configuration.builder();
        Set<EndpointName> listed = new HashSet<>();
        for (int index = 0; index < endpoints; index++) {
            builder.put(Fleets.engine("engine-" + index, "pool", "lautoka-a"));
            listed.add(EndpointName.of("engine-" + index));
        }
        mListed.clear();
        mListed.addAll(listed);
        mStates.keySet().retainAll(listed);
        mResidents.keySet().retainAll(listed);
        mScheduler.configure(builder.build());
    }

    private void cancelSome() {
        List<String> ids = mWaiting.stream().sorted().toList();
        if (!ids.isEmpty()) {
            String id = ids.get(mRandom.nextInt(ids.size()));
            assertThat(mScheduler.cancel(id)).isTrue();
            mWaiting.remove(id);
        }
        assertThat(mScheduler.cancel("request-unknown")).isFalse();
    }

    private void tick(long milliseconds) {
        mClock.advance(Duration.ofMillis(milliseconds));
        mScheduler.tick();
    }

    private EndpointName anyEndpoint() {
        return EndpointName.of("engine-" + mRandom.nextInt(ENDPOINTS));
    }

    private void check() {
        assertThat(mScheduler.waiting()).isEqualTo(mWaiting.size());
        assertThat(mScheduler.running()).isEqualTo(mRunning.size());
        long refusable = mWaiting.stream().filter(id -> !mSubmitted.get(id).mayHaveBegun()).count();
        assertThat(refusable).isLessThanOrEqualTo(SETTINGS.maximumTotal());
        for (int index = 0; index < ENDPOINTS; index++) {
            EndpointName name = EndpointName.of("engine-" + index);
            long known =
                    mRunning.values().stream()
                            .filter(attempt -> attempt.endpoint().equals(name))
                            .count();
            assertThat((long) mRouter.inFlight(name)).isLessThanOrEqualTo(known);
        }
    }

    /** Lets everything end; nothing may be left waiting once all endpoints serve. */
    private void finish() {
        configure(ENDPOINTS);
        for (int round = 0; round < 50 && !mScheduler.isIdle(); round++) {
            for (int index = 0; index < ENDPOINTS; index++) {
                EndpointName name = EndpointName.of("engine-" + index);
                mStates.put(name, EndpointState.UP);
                mResidents.put(name, MODELS);
                mScheduler.endpointChanged(name, EndpointState.UP);
                long incarnation = mIncarnations.getOrDefault(name, 1L);
                mScheduler.loadReported(
                        name, Fleets.report(incarnation, mClock.millis(), 0, 0, MODELS));
            }
            List.copyOf(mRunning.keySet()).forEach(id -> end(id, AttemptOutcome.FINISHED));
            tick(20_000);
        }
        List.copyOf(mRunning.keySet()).forEach(id -> end(id, AttemptOutcome.FINISHED));
        assertThat(mScheduler.isIdle()).as("nothing is left behind: %s", mWaiting).isTrue();
        for (int index = 0; index < ENDPOINTS; index++) {
            assertThat(mRouter.inFlight(EndpointName.of("engine-" + index))).isZero();
        }
    }

    @Override
    public void dispatch(Attempt attempt, RoutingDecision.Dispatch decision) {
        RouteRequest request = attempt.request();
        EndpointName endpoint = attempt.endpoint();
        assertThat(mWaiting.remove(request.requestId())).as("one outcome").isTrue();
        assertThat(request.excludedEndpoints()).doesNotContain(endpoint);
        assertThat(mListed).contains(endpoint);
        assertThat(mStates.getOrDefault(endpoint, EndpointState.UP)).isEqualTo(EndpointState.UP);
        assertThat(mResidents.get(endpoint)).contains(request.target().name());
        mRunning.put(attempt.attemptId(), attempt);
        tally(request.isIsolated() ? "isolated" : "dispatched");
    }

    @Override
    public void refuse(RouteRequest request, ErrorKind kind, int retryAfterSeconds) {
        assertThat(mWaiting.remove(request.requestId())).as("one outcome").isTrue();
        boolean saysNotRun = ErrorTable.answerTo(kind).executionStarted() == ExecutionStarted.NO;
        assertThat(saysNotRun).as("says not run").isEqualTo(!request.mayHaveBegun());
        assertThat(retryAfterSeconds).isBetween(1, 60);
        tally(kind.wireName());
    }

    @Override
    public void preempt(Attempt attempt) {
        assertThat(mRunning).containsKey(attempt.attemptId());
        assertThat(attempt.request().workClass()).isNotEqualTo(WorkClass.INTERACTIVE);
        assertThat(mPreempted.add(attempt.attemptId())).as("preempted once").isTrue();
        assertThat(attempt.request().preemptionCount()).isLessThan(SETTINGS.maximumPreemptions());
        tally("preempted");
    }
}
