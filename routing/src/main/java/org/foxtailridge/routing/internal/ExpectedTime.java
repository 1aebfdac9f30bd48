package org.foxtailridge.routing.internal;

import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingSettings;

/** Expected time to the first token of a request on an endpoint. */
public final class ExpectedTime {
    private static final double RECENT_WEIGHT = 0.02;

    private final RoutingSettings mSettings;
    private double mMeanPromptTokens;

    /** Creates an estimate with the settings. */
    public ExpectedTime(RoutingSettings settings) {
        mSettings = settings;
    }

    /** Takes in the prompt tokens that an endpoint had to compute for an attempt. */
    public void promptSent(int promptTokens) {
        mMeanPromptTokens += RECENT_WEIGHT * (promptTokens - mMeanPromptTokens);
    }

    /**
     * Returns the expected time, in milliseconds.
     *
     * @param entry the endpoint
     * @param request the request
     * @param cachedTokens tokens of the prompt that need not be computed
     * @param adapterHeld whether the adapter is resident or the request names none
     */
    public double milliseconds(
            EndpointEntry entry, RouteRequest request, double cachedTokens, boolean adapterHeld) {
        double own = Math.max(0, request.promptTokens() - cachedTokens);
        double ahead = entry.pendingPromptTokens() + othersPromptTokens(entry);
        double compute =
                (own + ahead) * mSettings.millisecondsPerPromptToken()
                        + entry.totalInFlight() * mSettings.millisecondsPerRunningRequest();
        double fetch = adapterHeld ? 0 : mSettings.adapterLoadMilliseconds();
        return distance(entry) + fetch + compute * entry.speed().ratio();
    }

    private double othersPromptTokens(EndpointEntry entry) {
        LoadReport report = entry.report();
        if (report == null) {
            return 0;
        }
        return Math.min(report.waiting(), entry.others()) * mMeanPromptTokens;
    }

    private double distance(EndpointEntry entry) {
        boolean own = entry.listing().dataCentre().equals(mSettings.dataCentre());
        return own ? 0 : mSettings.distanceMilliseconds();
    }
}
