package org.foxtailridge.routing.internal;

/**
 * The number of attempts that an endpoint is thought to run at once without a queue.
 *
 * <p>The limit of all nodes' attempts falls to the size of the batch when the endpoint reports a
 * queue or refuses as full, and grows by a share for each report that shows no queue while the
 * limit is nearly used. The limit of this node's own attempts falls by a share while tokens come
 * too slowly and grows by one for as many answers that come fast enough.
 */
public final class ConcurrencyLimit {
    private static final double INITIAL_LIMIT = 32;
    private static final double MINIMUM_LIMIT = 1;
    private static final double MAXIMUM_LIMIT = 256;
    private static final double GROWTH_SHARE = 0.1;
    private static final double REFUSAL_DECREASE_FACTOR = 0.9;
    private static final double TOLERATED_QUEUE_SHARE = 0.125;
    private static final double RECENT_WEIGHT = 0.3;
    private static final double SLOW_TOKEN_INTERVAL_RATIO = 0.95;
    private static final double SLOW_DECREASE_FACTOR = 0.9;
    private static final long MINIMUM_DECREASE_INTERVAL_MILLISECONDS = 1_500;

    private double mTotalLimit = INITIAL_LIMIT;
    private double mNodeLimit = MAXIMUM_LIMIT;
    private double mTokenIntervalRatio;
    private long mDecreasedMilliseconds = -MINIMUM_DECREASE_INTERVAL_MILLISECONDS;

    /** Returns the limit of this node's own attempts. */
    public double nodeLimit() {
        return mNodeLimit;
    }

    /** Returns the limit, in attempts. */
    public double totalLimit() {
        return mTotalLimit;
    }

    /**
     * Takes in a load report.
     *
     * @param running requests in the batch
     * @param waiting requests in the endpoint's queue
     */
    public void onLoadReport(int running, int waiting) {
        if (waiting > Math.max(1, running * TOLERATED_QUEUE_SHARE)) {
            mTotalLimit = Math.max(MINIMUM_LIMIT, Math.min(mTotalLimit, running + 1));
        } else if (running + waiting >= Math.max(1, mTotalLimit * (1 - GROWTH_SHARE) - 1)) {
            mTotalLimit =
                    Math.min(MAXIMUM_LIMIT, mTotalLimit + Math.max(1, mTotalLimit * GROWTH_SHARE));
        }
    }

    /** Takes in how many requests the endpoint runs at once; a known size needs no estimate. */
    public void setBatchSize(int requests) {
        mTotalLimit = requests;
    }

    /**
     * Takes in how fast tokens come.
     *
     * @param shareOfTarget time between tokens, as a share of the largest that is wanted
     * @param inFlight attempts of this node in flight there
     * @param now instant, in milliseconds since the epoch
     */
    public void onTokenInterval(double shareOfTarget, int inFlight, long now) {
        mTokenIntervalRatio += RECENT_WEIGHT * (shareOfTarget - mTokenIntervalRatio);
        if (mTokenIntervalRatio > SLOW_TOKEN_INTERVAL_RATIO
                && now - mDecreasedMilliseconds >= MINIMUM_DECREASE_INTERVAL_MILLISECONDS) {
            mDecreasedMilliseconds = now;
            mNodeLimit =
                    Math.max(
                            MINIMUM_LIMIT,
                            Math.min(mNodeLimit, inFlight + 1) * SLOW_DECREASE_FACTOR);
        } else if (mTokenIntervalRatio < SLOW_TOKEN_INTERVAL_RATIO
                && inFlight + 1 >= mNodeLimit * SLOW_DECREASE_FACTOR) {
            mNodeLimit = Math.min(MAXIMUM_LIMIT, mNodeLimit + 1 / mNodeLimit);
        }
    }

    /**
     * Takes in a refusal of an endpoint that was full.
     *
     * @param inFlight attempts in flight there, without the refused one
     */
    public void onRefusal(int inFlight) {
        mTotalLimit =
                Math.max(MINIMUM_LIMIT, Math.min(mTotalLimit, inFlight) * REFUSAL_DECREASE_FACTOR);
    }
}
