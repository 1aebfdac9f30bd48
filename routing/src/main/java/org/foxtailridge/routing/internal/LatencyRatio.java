package org.foxtailridge.routing.internal;

/**
 * Exponentially weighted moving average of the ratio of observed to expected times to the first
 * token of one endpoint. Each observation is bounded by {@link #MINIMUM_RATIO} and {@link
 * #MAXIMUM_RATIO}.
 */
public final class LatencyRatio {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MINIMUM_RATIO = 0.25;
    private static final double MAXIMUM_RATIO = 8;

    private double mRatio = 1;

    /** Returns the ratio; initially 1, above 1 for an endpoint that is slower than expected. */
    public double value() {
        return mRatio;
    }

    /** Adds one observation, in milliseconds; ignored without an expected time. */
    public void recordObservation(double observedMilliseconds, double expectedMilliseconds) {
        if (expectedMilliseconds <= 0) {
            return;
        }
        // The expected time already contains the current ratio, so the quotient is relative to it.
        double ratio = mRatio * observedMilliseconds / expectedMilliseconds;
        double bounded = Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
        mRatio += SMOOTHING_FACTOR * (bounded - mRatio);
    }
}
