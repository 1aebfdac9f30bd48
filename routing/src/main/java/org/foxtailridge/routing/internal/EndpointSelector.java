package org.foxtailridge.routing.internal;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Selects the endpoint with the lowest expected time to the first token among a sample of the
 * candidates.
 *
 * <p>Skips endpoints that are ejected, at their concurrency limit, or too slow for the target of
 * the first token. When the sample has no suitable endpoint, up to {@link
 * #MAXIMUM_FALLBACK_CANDIDATES} candidates are tried in turn. Confined to the router's thread.
 */
public final class EndpointSelector {
    private static final int ADAPTER_CANDIDATES = 2;
    private static final int MAXIMUM_FALLBACK_CANDIDATES = 64;
    private static final double LONG_PROMPT_FACTOR = 1.25;
    // Spreads requests over endpoints whose scores differ by less than this share.
    private static final double SCORE_JITTER = 0.05;

    private final RoutingSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final EndpointDirectory mDirectory;
    private final OutlierEjection mEjection;
    private final PrefixCacheIndex mPrefixIndex;
    private final FirstTokenEstimator mEstimator;
    private final CandidateSample mSample;

    /** Creates a selector over a directory. */
    public EndpointSelector(
            RoutingSettings settings,
            UniformRandomProvider random,
            EndpointDirectory directory,
            OutlierEjection ejection,
            PrefixCacheIndex prefixIndex,
            FirstTokenEstimator estimator) {
        mSettings = settings;
        mRandom = random;
        mDirectory = directory;
        mEjection = ejection;
        mPrefixIndex = prefixIndex;
        mEstimator = estimator;
        mSample =
                new CandidateSample(
                        random, settings.randomCandidates(), settings.preferredCandidates());
    }

    /** Returns the endpoint to send the request to, null when none has capacity. */
    public EndpointEntry select(List<EndpointEntry> candidates, RouteRequest request, long now) {
        if (request.isIsolated()) {
            return leastLoaded(candidates, request, now);
        }
        PrefixMatch match = mPrefixIndex.match(request);
        fillSample(candidates, request, match);
        EndpointEntry best = null;
        double lowestScore = Double.MAX_VALUE;
        for (int index = 0; index < mSample.size(); index++) {
            EndpointEntry entry = mSample.get(index);
            if (isEligible(entry, request, now) && !mEjection.isStillEjected(entry, now)) {
                double score = score(entry, request, match, now);
                if (score < lowestScore && meetsFirstTokenTarget(entry, request, score)) {
                    lowestScore = score;
                    best = entry;
                }
            }
        }
        return best == null ? selectFallback(candidates, request, now) : best;
    }

    /** Returns the expected time to the first token, in milliseconds. */
    public double expectedMilliseconds(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mPrefixIndex.match(request).cachedTokens(entry, now);
        boolean held = mDirectory.holdsAdapter(entry, request.target());
        return mEstimator.expectedMilliseconds(entry, request, cached, held);
    }

    /** Returns the prompt tokens that the endpoint is expected to compute. */
    public int expectedUncachedTokens(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mPrefixIndex.match(request).cachedTokens(entry, now);
        return (int) Math.max(0, request.promptTokens() - cached);
    }

    /** Starts the ramp-up of an endpoint that has restarted or is up again. */
    public void startRamp(EndpointEntry entry, long now) {
        entry.health().startRamp(now);
    }

    private void fillSample(
            List<EndpointEntry> candidates, RouteRequest request, PrefixMatch match) {
        mSample.clear();
        match.addTo(mSample);
        if (request.target() instanceof RouteTarget.ModelTarget model
                && model.adapter().isPresent()) {
            List<EndpointEntry> holders =
                    mDirectory.endpointsWithAdapter(model.name(), model.adapter().get());
            mSample.addPreferredAtRandom(holders, ADAPTER_CANDIDATES);
        }
        mSample.addRandom(candidates);
    }

    private double score(EndpointEntry entry, RouteRequest request, PrefixMatch match, long now) {
        boolean held = mDirectory.holdsAdapter(entry, request.target());
        double cached = match.cachedTokens(entry, now);
        double expected = mEstimator.expectedMilliseconds(entry, request, cached, held);
        return expected * (1 + SCORE_JITTER * mRandom.nextDouble());
    }

    private boolean isEligible(EndpointEntry entry, RouteRequest request, long now) {
        return mDirectory.canServe(entry, request.target())
                && DirectoryRouter.isAllowed(entry, request)
                && !entry.runsIsolatedRequest()
                && hasCapacity(entry, request, now);
    }

    /**
     * Returns whether the expected time is within the target for the first token, or this node has
     * nothing in flight on the endpoint. Interactive requests with long prompts are allowed 1.25
     * times the time to compute the prompt alone; batch requests the target plus the time to
     * compute the prompt.
     */
    private boolean meetsFirstTokenTarget(
            EndpointEntry entry, RouteRequest request, double expected) {
        double computeMilliseconds =
                request.promptTokens() * mSettings.millisecondsPerPromptToken();
        double target = mSettings.targetFirstTokenMilliseconds();
        double allowed =
                request.workClass() == WorkClass.INTERACTIVE
                        ? Math.max(target, computeMilliseconds * LONG_PROMPT_FACTOR)
                        : target + computeMilliseconds;
        return expected <= allowed || entry.inFlight() == 0;
    }

    private boolean hasCapacity(EndpointEntry entry, RouteRequest request, long now) {
        double ramp =
                entry.health()
                        .rampShare(now, mSettings.rampMilliseconds(), mSettings.rampInitialShare());
        double totalLimit = usableLimit(entry.limit().totalLimit() * ramp, request);
        double nodeLimit = usableLimit(entry.limit().nodeLimit(), request);
        return entry.totalInFlight() < totalLimit && entry.inFlight() < nodeLimit;
    }

    /**
     * Returns the part of a limit that a request may use, at least 1. Batch requests leave the
     * share that is reserved for interactive ones, at least one attempt.
     */
    private double usableLimit(double limit, RouteRequest request) {
        if (request.workClass() == WorkClass.INTERACTIVE) {
            return Math.max(1, limit);
        }
        return Math.max(1, limit - Math.max(1, limit * mSettings.interactiveReservedShare()));
    }

    /**
     * Returns the first suitable candidate from a random start on, null when there is none. When
     * all scanned candidates are ejected or excluded, an ejected one is used, so that requests are
     * still served while every endpoint fails.
     */
    private EndpointEntry selectFallback(
            List<EndpointEntry> candidates, RouteRequest request, long now) {
        int count = candidates.size();
        int scanned = Math.min(count, MAXIMUM_FALLBACK_CANDIDATES);
        int start = mRandom.nextInt(count);
        boolean allUnavailable = true;
        EndpointEntry ejected = null;
        for (int offset = 0; offset < scanned; offset++) {
            EndpointEntry entry = candidates.get((start + offset) % count);
            boolean stillEjected = mEjection.isStillEjected(entry, now);
            allUnavailable &= stillEjected || request.excludedEndpoints().contains(entry.name());
            if (isEligible(entry, request, now)
                    && meetsFirstTokenTarget(
                            entry, request, expectedMilliseconds(entry, request, now))) {
                if (!stillEjected) {
                    return entry;
                }
                ejected = entry;
            }
        }
        return allUnavailable ? ejected : null;
    }

    /** Returns the endpoint with the fewest attempts for an isolated request, null if none. */
    private EndpointEntry leastLoaded(
            List<EndpointEntry> candidates, RouteRequest request, long now) {
        EndpointEntry best = null;
        for (EndpointEntry entry : candidates) {
            boolean lessLoaded =
                    entry.totalInFlight() <= mSettings.maximumAttemptsBesideIsolated()
                            && (best == null || entry.totalInFlight() < best.totalInFlight());
            boolean available =
                    !entry.runsIsolatedRequest()
                            && !request.excludedEndpoints().contains(entry.name());
            if (lessLoaded && available && !mEjection.isStillEjected(entry, now)) {
                best = entry;
            }
        }
        return best;
    }

    /**
     * Returns the decision when no endpoint was selected: to refuse if all are excluded, else to
     * wait.
     */
    public RoutingDecision decideWithoutEndpoint(
            List<EndpointEntry> candidates, RouteRequest request) {
        boolean allExcluded =
                candidates.size() <= request.excludedEndpoints().size()
                        && candidates.stream()
                                .allMatch(
                                        entry ->
                                                request.excludedEndpoints().contains(entry.name()));
        return allExcluded
                ? DirectoryRouter.refuse(ErrorKind.NO_ENDPOINT)
                : new RoutingDecision.Await();
    }
}
