package org.foxtailridge.routing.internal;

import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Estimates the time to the first token of a request on an endpoint.
 *
 * <p>The estimate is the round trip to the endpoint's data centre, the time to load the adapter,
 * and the time to compute the prompt after the prompts ahead of it. The computing time is scaled by
 * the endpoint's {@link LatencyRatio}. Prompts that other nodes sent count with the mean length of
 * this node's prompts. Confined to the router's thread.
 */
public final class FirstTokenEstimator {
    private static final double SMOOTHING_FACTOR = 0.02;

    private final RoutingSettings mSettings;
    private double mMeanPromptTokens;

    /** Creates an estimator. */
    public FirstTokenEstimator(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Adds the uncached prompt tokens of an attempt to the mean prompt length. */
    public void recordPrompt(int promptTokens) {
        mMeanPromptTokens += SMOOTHING_FACTOR * (promptTokens - mMeanPromptTokens);
    }

    /**
     * Returns the expected time to the first token, in milliseconds.
     *
     * @param entry the endpoint
     * @param request the request
     * @param cachedTokens prompt tokens that the endpoint has in its cache, as expected value
     * @param adapterHeld whether the adapter is resident or the request needs none
     */
    public double expectedMilliseconds(
            EndpointEntry entry, RouteRequest request, double cachedTokens, boolean adapterHeld) {
        double ownPromptTokens = Math.max(0, request.promptTokens() - cachedTokens);
        double promptTokensAhead = entry.pendingPromptTokens() + otherNodesPromptTokens(entry);
        double compute =
                (ownPromptTokens + promptTokensAhead) * mSettings.millisecondsPerPromptToken()
                        + entry.totalInFlight() * mSettings.millisecondsPerRunningRequest();
        double adapterLoad = adapterHeld ? 0 : mSettings.adapterLoadMilliseconds();
        return roundTripMilliseconds(entry) + adapterLoad + compute * entry.latencyRatio().value();
    }

    private double otherNodesPromptTokens(EndpointEntry entry) {
        LoadReport report = entry.report();
        if (report == null) {
            return 0;
        }
        return Math.min(report.waiting(), entry.otherNodesInFlight()) * mMeanPromptTokens;
    }

    private double roundTripMilliseconds(EndpointEntry entry) {
        boolean sameDataCentre = entry.configuration().dataCentre().equals(mSettings.dataCentre());
        return sameDataCentre ? 0 : mSettings.dataCentreRoundTripMilliseconds();
    }
}
