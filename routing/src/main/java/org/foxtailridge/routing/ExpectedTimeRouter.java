package org.foxtailridge.routing;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.Endpoint;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.internal.DirectoryRouter;
import org.foxtailridge.routing.internal.EndpointEntry;
import org.foxtailridge.routing.internal.EndpointSelector;
import org.foxtailridge.routing.internal.FirstTokenEstimator;
import org.foxtailridge.routing.internal.InFlightAttempts;
import org.foxtailridge.routing.internal.OutlierEjection;
import org.foxtailridge.routing.internal.PrefixCacheIndex;

/**
 * Router that chooses the endpoint with the lowest expected time to the first token among a sample
 * of the candidates.
 *
 * <p>The estimate includes the attempts of this node, the reported load of other nodes, the prefix
 * of the prompt that is expected to be cached, the adapter to load, the round trip to another data
 * centre, and how slow the endpoint was recently. An endpoint at its adaptive concurrency limit is
 * not chosen; when all are, the request waits. Endpoints that fail repeatedly are ejected for a
 * while, and the limit of an endpoint that returns is ramped up.
 *
 * <pre>{@code
 * Router router =
 *         ExpectedTimeRouter.create(clock, RoutingSettings.builder("lautoka-a").build(), seed);
 * }</pre>
 */
public final class ExpectedTimeRouter extends DirectoryRouter {
    private final OutlierEjection mEjection;
    private final PrefixCacheIndex mPrefixIndex;
    private final FirstTokenEstimator mEstimator;
    private final EndpointSelector mSelector;
    private final double mTargetBetweenTokensMilliseconds;
    private final Map<String, Integer> mPoolSizes = new HashMap<>();

    private ExpectedTimeRouter(Clock clock, RoutingSettings settings, long seed) {
        super(clock, settings.maximumAttemptsInFlight());
        mTargetBetweenTokensMilliseconds = settings.targetBetweenTokensMilliseconds();
        mEjection = new OutlierEjection(settings);
        mPrefixIndex = new PrefixCacheIndex(settings);
        mEstimator = new FirstTokenEstimator(settings);
        mSelector =
                new EndpointSelector(
                        settings,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        directory(),
                        mEjection,
                        mPrefixIndex,
                        mEstimator);
    }

    /**
     * Returns a router.
     *
     * @param clock clock of the node
     * @param settings settings of the router
     * @param seed seed of the random sampling; must differ between nodes, so that nodes with the
     *     same reports choose different endpoints
     */
    public static ExpectedTimeRouter create(Clock clock, RoutingSettings settings, long seed) {
        return new ExpectedTimeRouter(clock, settings, seed);
    }

    @Override
    public void configure(Configuration configuration) {
        Map<EndpointName, EndpointEntry> before = new HashMap<>();
        directory().forEach(entry -> before.put(entry.name(), entry));
        directory().configure(configuration).forEach(name -> mEjection.remove(before.get(name)));
        mPoolSizes.clear();
        for (Endpoint endpoint : configuration.all(Endpoint.class)) {
            mPoolSizes.merge(endpoint.pool(), 1, Integer::sum);
        }
    }

    @Override
    public void loadReported(EndpointName endpoint, LoadReport report) {
        EndpointEntry entry = directory().find(endpoint);
        if (entry == null) {
            return;
        }
        LoadReport before = entry.report();
        if (!directory().applyReport(entry, report)) {
            return;
        }
        if (report.batchSize() > 0) {
            entry.limit().setBatchSize(report.batchSize());
        } else {
            entry.limit().onLoadReport(report.running(), report.waiting());
        }
        if (before != null && before.incarnation() != report.incarnation()) {
            mSelector.startRamp(entry, nowMilliseconds());
        }
    }

    @Override
    public void cacheChanged(EndpointName endpoint, CacheEventBatch batch) {
        EndpointEntry entry = directory().find(endpoint);
        if (entry != null) {
            mPrefixIndex.applyEvents(entry, batch, nowMilliseconds());
        }
    }

    @Override
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        EndpointEntry entry = directory().find(endpoint);
        if (entry != null && directory().applyState(entry, state)) {
            mSelector.startRamp(entry, nowMilliseconds());
        }
    }

    /** Returns the number of endpoints that are currently ejected. */
    public int ejectedCount() {
        return mEjection.size();
    }

    @Override
    protected RoutingDecision pick(List<EndpointEntry> candidates, RouteRequest request) {
        long now = nowMilliseconds();
        EndpointEntry best = mSelector.select(candidates, request, now);
        if (best == null) {
            return mSelector.decideWithoutEndpoint(candidates, request);
        }
        return dispatch(best, request, mSelector.expectedMilliseconds(best, request, now));
    }

    @Override
    protected int promptTokens(EndpointEntry entry, Attempt attempt) {
        int tokens = mSelector.expectedUncachedTokens(entry, attempt.request(), nowMilliseconds());
        mEstimator.recordPrompt(tokens);
        return tokens;
    }

    @Override
    protected double expectedMilliseconds(EndpointEntry entry, Attempt attempt) {
        return mSelector.expectedMilliseconds(entry, attempt.request(), nowMilliseconds());
    }

    @Override
    protected void onFirstToken(InFlightAttempts.InFlight inFlight) {
        long now = nowMilliseconds();
        EndpointEntry entry = inFlight.entry();
        mPrefixIndex.recordComputedPrompt(entry, inFlight.attempt().request(), now);
        entry.latencyRatio()
                .recordObservation(
                        now - inFlight.startedMilliseconds(), inFlight.expectedMilliseconds());
    }

    @Override
    protected void onTimeBetweenTokens(InFlightAttempts.InFlight inFlight, double milliseconds) {
        EndpointEntry entry = inFlight.entry();
        entry.limit()
                .onTimeBetweenTokens(
                        milliseconds / mTargetBetweenTokensMilliseconds,
                        entry.inFlight(),
                        nowMilliseconds());
    }

    @Override
    protected void onEnd(InFlightAttempts.InFlight inFlight, AttemptOutcome outcome) {
        EndpointEntry entry = inFlight.entry();
        long now = nowMilliseconds();
        switch (outcome) {
            case FINISHED -> mEjection.recordSuccess(entry, now);
            case NOT_STARTED -> entry.limit().onRefusal(entry.totalInFlight());
            case FAILED, UNREACHABLE -> mEjection.recordFailure(entry, poolSize(entry), now);
            case CANCELLED -> {}
            default ->
                    throw new IllegalArgumentException(
                            "expected a known outcome but was " + outcome);
        }
    }

    private int poolSize(EndpointEntry entry) {
        return mPoolSizes.getOrDefault(entry.configuration().pool(), 1);
    }
}
