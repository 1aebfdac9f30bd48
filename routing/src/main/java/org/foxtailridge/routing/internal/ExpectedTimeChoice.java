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
public final class ExpectedTimeChoice {
    private static final int ADAPTER_DRAWS = 2;
    private static final int FALLBACK_ENDPOINTS = 64;
    private static final double LONG_PROMPT_FACTOR = 1.25;
    private static final double TIE_SHARE = 0.05;

    private final RoutingSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final EndpointDirectory mDirectory;
    private final OutlierEjection mEjection;
    private final PrefixBeliefs mBeliefs;
    private final ExpectedTime mExpected;
    private final CandidateSample mSample;

    /** Creates a choice over a directory. */
    public ExpectedTimeChoice(
            RoutingSettings settings,
            UniformRandomProvider random,
            EndpointDirectory directory,
            OutlierEjection ejection,
            PrefixBeliefs beliefs,
            ExpectedTime expected) {
        mSettings = settings;
        mRandom = random;
        mDirectory = directory;
        mEjection = ejection;
        mBeliefs = beliefs;
        mExpected = expected;
        mSample =
                new CandidateSample(
                        random, settings.randomCandidates(), settings.preferredCandidates());
    }

    /** Returns the endpoint to take, null when none has room. */
    public EndpointEntry best(List<EndpointEntry> candidates, RouteRequest request, long now) {
        if (request.isIsolated()) {
            return quietest(candidates, request, now);
        }
        PrefixMatch match = mBeliefs.match(request);
        fillSample(candidates, request, match);
        EndpointEntry best = null;
        double least = Double.MAX_VALUE;
        for (int index = 0; index < mSample.size(); index++) {
            EndpointEntry entry = mSample.get(index);
            if (isOpen(entry, request, now) && !mEjection.isOut(entry, now)) {
                double score = score(entry, request, match, now);
                if (score < least && isSoonEnough(entry, request, score)) {
                    least = score;
                    best = entry;
                }
            }
        }
        return best == null ? fallback(candidates, request, now) : best;
    }

    /** Returns the expected time to the first token, in milliseconds. */
    public double expected(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mBeliefs.match(request).cachedTokens(entry, now);
        boolean held = mDirectory.holdsAdapter(entry, request.target());
        return mExpected.milliseconds(entry, request, cached, held);
    }

    /** Returns the prompt tokens that the endpoint is thought to have to compute. */
    public int uncachedTokens(EndpointEntry entry, RouteRequest request, long now) {
        double cached = mBeliefs.match(request).cachedTokens(entry, now);
        return (int) Math.max(0, request.promptTokens() - cached);
    }

    /** Starts the ramp of an endpoint that has come back. */
    public void returned(EndpointEntry entry, long now) {
        entry.health().startRamp(now);
    }

    private void fillSample(
            List<EndpointEntry> candidates, RouteRequest request, PrefixMatch match) {
        mSample.clear();
        match.addTo(mSample);
        if (request.target() instanceof RouteTarget.ModelTarget model
                && model.adapter().isPresent()) {
            List<EndpointEntry> holders =
                    mDirectory.holdersOfAdapter(model.name(), model.adapter().get());
            mSample.addPreferredAtRandom(holders, ADAPTER_DRAWS);
        }
        mSample.addRandom(candidates);
    }

    private double score(EndpointEntry entry, RouteRequest request, PrefixMatch match, long now) {
        boolean held = mDirectory.holdsAdapter(entry, request.target());
        double cached = match.cachedTokens(entry, now);
        double expected = mExpected.milliseconds(entry, request, cached, held);
        return expected * (1 + TIE_SHARE * mRandom.nextDouble());
    }

    private boolean isOpen(EndpointEntry entry, RouteRequest request, long now) {
        return mDirectory.canServe(entry, request.target())
                && DirectoryRouter.isAllowed(entry, request)
                && !entry.holdsTrial()
                && hasRoom(entry, request, now);
    }

    /**
     * Returns whether work in flight leaves the first token in time, or none is in flight. Long
     * prompts and batch work are allowed more.
     */
    private boolean isSoonEnough(EndpointEntry entry, RouteRequest request, double expected) {
        double alone = request.promptTokens() * mSettings.millisecondsPerPromptToken();
        double target = mSettings.firstTokenMilliseconds();
        double allowed =
                request.workClass() == WorkClass.INTERACTIVE
                        ? Math.max(target, alone * LONG_PROMPT_FACTOR)
                        : target + alone;
        return expected <= allowed || entry.inFlight() == 0;
    }

    private boolean hasRoom(EndpointEntry entry, RouteRequest request, long now) {
        double ramp = entry.health().ramp(now, mSettings.rampMilliseconds(), mSettings.rampFloor());
        double limit = room(entry.limit().value() * ramp, request);
        double own = room(entry.limit().own(), request);
        return entry.totalInFlight() < limit && entry.inFlight() < own;
    }

    /** Returns the part of a limit that a request may use; batch work leaves one free at least. */
    private double room(double limit, RouteRequest request) {
        if (request.workClass() == WorkClass.INTERACTIVE) {
            return Math.max(1, limit);
        }
        return Math.max(1, limit - Math.max(1, limit * mSettings.interactiveReserve()));
    }

    /** Looks at more candidates in turn, and at ejected ones when every candidate is ejected. */
    private EndpointEntry fallback(List<EndpointEntry> candidates, RouteRequest request, long now) {
        int count = candidates.size();
        int looks = Math.min(count, FALLBACK_ENDPOINTS);
        int start = mRandom.nextInt(count);
        boolean allOut = true;
        EndpointEntry ejected = null;
        for (int look = 0; look < looks; look++) {
            EndpointEntry entry = candidates.get((start + look) % count);
            boolean out = mEjection.isOut(entry, now);
            allOut &= out || request.excludedEndpoints().contains(entry.name());
            if (isOpen(entry, request, now)
                    && isSoonEnough(entry, request, expected(entry, request, now))) {
                if (!out) {
                    return entry;
                }
                ejected = entry;
            }
        }
        return allOut ? ejected : null;
    }

    private EndpointEntry quietest(List<EndpointEntry> candidates, RouteRequest request, long now) {
        EndpointEntry best = null;
        for (EndpointEntry entry : candidates) {
            boolean quieter =
                    entry.totalInFlight() <= mSettings.isolatedMaximumOthers()
                            && (best == null || entry.totalInFlight() < best.totalInFlight());
            boolean open =
                    !entry.holdsTrial() && !request.excludedEndpoints().contains(entry.name());
            if (quieter && open && !mEjection.isOut(entry, now)) {
                best = entry;
            }
        }
        return best;
    }

    /** Returns the decision when no endpoint was taken. */
    public RoutingDecision withoutEndpoint(List<EndpointEntry> candidates, RouteRequest request) {
        boolean excluded =
                candidates.size() <= request.excludedEndpoints().size()
                        && candidates.stream()
                                .allMatch(
                                        entry ->
                                                request.excludedEndpoints().contains(entry.name()));
        return excluded
                ? DirectoryRouter.refuse(ErrorKind.NO_ENDPOINT)
                : new RoutingDecision.Await();
    }
}
