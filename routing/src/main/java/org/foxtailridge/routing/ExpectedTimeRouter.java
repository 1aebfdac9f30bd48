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
import org.foxtailridge.routing.internal.ExpectedTime;
import org.foxtailridge.routing.internal.ExpectedTimeChoice;
import org.foxtailridge.routing.internal.InFlightAttempts;
import org.foxtailridge.routing.internal.OutlierEjection;
import org.foxtailridge.routing.internal.PrefixBeliefs;

/**
 * Takes the endpoint with the least expected time to the first token among a few candidates.
 *
 * <p>The expectation counts this node's own attempts, the reported load of others, the prompt's
 * prefix that is believed cached, the adapter, the distance and how slow the endpoint was lately.
 * An endpoint that runs as many attempts as it is thought able to is not chosen; when all are, the
 * request waits. Endpoints that fail are ejected for a while, and a returning one is ramped up.
 *
 * <pre>{@code
 * Router router =
 *         ExpectedTimeRouter.create(clock, RoutingSettings.builder("lautoka-a").build(), seed);
 * }</pre>
 */
public final class ExpectedTimeRouter extends DirectoryRouter {
    private final OutlierEjection mEjection;
    private final PrefixBeliefs mBeliefs;
    private final ExpectedTime mExpected;
    private final ExpectedTimeChoice mChoice;
    private final double mTargetMilliseconds;
    private final Map<String, Integer> mPoolSizes = new HashMap<>();

    private ExpectedTimeRouter(Clock clock, RoutingSettings settings, long seed) {
        super(clock, settings.maximumAttempts());
        mTargetMilliseconds = settings.targetBetweenTokensMilliseconds();
        mEjection = new OutlierEjection(settings);
        mBeliefs = new PrefixBeliefs(settings);
        mExpected = new ExpectedTime(settings);
        mChoice =
                new ExpectedTimeChoice(
                        settings,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        directory(),
                        mEjection,
                        mBeliefs,
                        mExpected);
    }

    /**
     * Returns a router.
     *
     * @param clock clock of the node
     * @param settings settings of the node
     * @param seed seed of the random draws; differs between nodes
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
        if (!directory().report(entry, report)) {
            return;
        }
        if (report.batchSize() > 0) {
            entry.limit().batchSize(report.batchSize());
        } else {
            entry.limit().reported(report.running(), report.waiting());
        }
        if (before != null && before.incarnation() != report.incarnation()) {
            mChoice.returned(entry, nowMilliseconds());
        }
    }

    @Override
    public void cacheChanged(EndpointName endpoint, CacheEventBatch events) {
        EndpointEntry entry = directory().find(endpoint);
        if (entry != null) {
            mBeliefs.changed(entry, events, nowMilliseconds());
        }
    }

    @Override
    public void endpointChanged(EndpointName endpoint, EndpointState state) {
        EndpointEntry entry = directory().find(endpoint);
        if (entry != null && directory().change(entry, state)) {
            mChoice.returned(entry, nowMilliseconds());
        }
    }

    /** Returns the number of endpoints that are ejected. */
    public int ejected() {
        return mEjection.size();
    }

    @Override
    protected RoutingDecision pick(List<EndpointEntry> candidates, RouteRequest request) {
        long now = nowMilliseconds();
        EndpointEntry best = mChoice.best(candidates, request, now);
        if (best == null) {
            return mChoice.withoutEndpoint(candidates, request);
        }
        return dispatch(best, request, mChoice.expected(best, request, now));
    }

    @Override
    protected int promptTokens(EndpointEntry entry, Attempt attempt) {
        int tokens = mChoice.uncachedTokens(entry, attempt.request(), nowMilliseconds());
        mExpected.promptSent(tokens);
        return tokens;
    }

    @Override
    protected double expectedMilliseconds(EndpointEntry entry, Attempt attempt) {
        return mChoice.expected(entry, attempt.request(), nowMilliseconds());
    }

    @Override
    protected void onFirstToken(InFlightAttempts.InFlight inFlight) {
        long now = nowMilliseconds();
        EndpointEntry entry = inFlight.entry();
        mBeliefs.answered(entry, inFlight.attempt().request(), now);
        entry.speed()
                .observed(now - inFlight.startedMilliseconds(), inFlight.expectedMilliseconds());
    }

    @Override
    protected void onPace(InFlightAttempts.InFlight inFlight, double milliseconds) {
        EndpointEntry entry = inFlight.entry();
        entry.limit()
                .paced(milliseconds / mTargetMilliseconds, entry.inFlight(), nowMilliseconds());
    }

    @Override
    protected void onEnd(InFlightAttempts.InFlight inFlight, AttemptOutcome end) {
        EndpointEntry entry = inFlight.entry();
        long now = nowMilliseconds();
        switch (end) {
            case FINISHED -> mEjection.succeeded(entry, now);
            case NOT_STARTED -> entry.limit().refused(entry.totalInFlight());
            case FAILED, UNREACHABLE -> mEjection.failed(entry, poolSize(entry), now);
            case CANCELLED -> {}
            default -> throw new IllegalArgumentException("expected a known end but was " + end);
        }
    }

    private int poolSize(EndpointEntry entry) {
        return mPoolSizes.getOrDefault(entry.listing().pool(), 1);
    }
}
