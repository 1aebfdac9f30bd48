package org.foxtailridge.routing.internal;

/** Mean ratio of observed to expected times to the first token, weighted towards recent ones. */
public final class LatencyRatio {
    private static final double RECENT_WEIGHT = 0.1;
    private static final double MINIMUM_RATIO = 0.25;
    private static final double MAXIMUM_RATIO = 8;

    private double mRatio = 1;

    /** Returns the ratio; above 1 for an endpoint that is slower than expected. */
    public double value() {
        return mRatio;
    }

    /** Takes in one observation; both in milliseconds. */
    public void recordObservation(double observedMilliseconds, double expectedMilliseconds) {
        if (expectedMilliseconds <= 0) {
            return;
        }
        // The expectation was made with the ratio in it, so the new ratio is relative to the old.
        double ratio = mRatio * observedMilliseconds / expectedMilliseconds;
        double bounded = Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
        mRatio += RECENT_WEIGHT * (bounded - mRatio);
    }
}
