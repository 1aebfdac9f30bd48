package org.foxtailridge.routing.internal;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RouteTarget;
import org.foxtailridge.routing.RoutingDecision;
import org.foxtailridge.routing.RoutingSettings;

/** Scores a sample of the candidates and takes the best that has room. */
public final class EndpointSelector {
    private static final int ADAPTER_CANDIDATES = 2;
    private static final int MAXIMUM_FALLBACK_CANDIDATES = 64;
    private static final double LONG_PROMPT_FACTOR = 1.25;
    private static final double SCORE_JITTER = 0.05;

    private final RoutingSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final EndpointDirectory mDirectory;
    private final OutlierEjection mEjection;
    private final PrefixCacheIndex mPrefixIndex;
    private final FirstTokenEstimator mEstimator;
    private final CandidateSample mSample;

    /** Creates a choice over a directory. */
    public EndpointSelector(
            RoutingSettings settings,
            UniformRandomProvider random,
            EndpointDirectory directory,
            OutlierEjection ejection,
            PrefixCacheIndex prefixIndex,
            FirstTokenEstimator expected) {
        mSettings = settings;
        mRandom = random;
        mDirectory = directory;
        mEjection = ejection;
        mPrefixIndex = prefixIndex;
        mEstimator = expected;
        mSample =
                new CandidateSample(
                        random, settings.randomCandidates(), settings.preferredCandidates());
    }

    /** Returns the endpoint to take, null when none has room. */
    public EndpointEntry select(List<EndpointEntry> candidates, RouteRequest request, long now) {
        if (request.isolated()) {
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
        return best == null ? selectAmongMore(candidates, request, now) : best;
    }

    /** Returns the expected time to the first token, in milliseconds. */
    public double expectedMilliseconds(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mPrefixIndex.match(request).cachedTokens(entry, now);
        boolean held = mDirectory.holdsAdapter(entry, request.target());
        return mEstimator.expectedMilliseconds(entry, request, cached, held);
    }

    /** Returns the prompt tokens that the endpoint is thought to have to compute. */
    public int expectedUncachedTokens(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mPrefixIndex.match(request).cachedTokens(entry, now);
        return (int) Math.max(0, request.promptTokens() - cached);
    }

    /** Starts the ramp of an endpoint that has come back. */
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
     * Returns whether work in flight leaves the first token in time, or none is in flight. Long
     * prompts and batch work are allowed more.
     */
    private boolean meetsFirstTokenTarget(
            EndpointEntry entry, RouteRequest request, double expected) {
        double alone = request.promptTokens() * mSettings.millisecondsPerPromptToken();
        double target = mSettings.targetFirstTokenMilliseconds();
        double allowed =
                request.workClass() == WorkClass.INTERACTIVE
                        ? Math.max(target, alone * LONG_PROMPT_FACTOR)
                        : target + alone;
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
     * Returns the part of a limit that a request may use; batch work leaves one free at
     * lowestScore.
     */
    private double usableLimit(double limit, RouteRequest request) {
        if (request.workClass() == WorkClass.INTERACTIVE) {
            return Math.max(1, limit);
        }
        return Math.max(1, limit - Math.max(1, limit * mSettings.interactiveReservedShare()));
    }

    /** Looks at more candidates in turn, and at ejected ones when every candidate is ejected. */
    private EndpointEntry selectAmongMore(
            List<EndpointEntry> candidates, RouteRequest request, long now) {
        int count = candidates.size();
        int scanned = Math.min(count, MAXIMUM_FALLBACK_CANDIDATES);
        int start = mRandom.nextInt(count);
        boolean allUnavailable = true;
        EndpointEntry ejected = null;
        for (int offset = 0; offset < scanned; offset++) {
            EndpointEntry entry = candidates.get((start + offset) % count);
            boolean out = mEjection.isStillEjected(entry, now);
            allUnavailable &= out || request.excluded().contains(entry.name());
            if (isEligible(entry, request, now)
                    && meetsFirstTokenTarget(
                            entry, request, expectedMilliseconds(entry, request, now))) {
                if (!out) {
                    return entry;
                }
                ejected = entry;
            }
        }
        return allUnavailable ? ejected : null;
    }

    private EndpointEntry leastLoaded(
            List<EndpointEntry> candidates, RouteRequest request, long now) {
        EndpointEntry best = null;
        for (EndpointEntry entry : candidates) {
            boolean lessLoaded =
                    entry.totalInFlight() <= mSettings.maximumAttemptsBesideIsolated()
                            && (best == null || entry.totalInFlight() < best.totalInFlight());
            boolean open =
                    !entry.runsIsolatedRequest() && !request.excluded().contains(entry.name());
            if (lessLoaded && open && !mEjection.isStillEjected(entry, now)) {
                best = entry;
            }
        }
        return best;
    }

    /** Returns the decision when no endpoint was taken. */
    public RoutingDecision decideWithoutEndpoint(
            List<EndpointEntry> candidates, RouteRequest request) {
        boolean excluded =
                candidates.size() <= request.excluded().size()
                        && candidates.stream()
                                .allMatch(entry -> request.excluded().contains(entry.name()));
        return excluded
                ? DirectoryRouter.refuse(ErrorKind.NO_ENDPOINT)
                : new RoutingDecision.Await();
    }
}
