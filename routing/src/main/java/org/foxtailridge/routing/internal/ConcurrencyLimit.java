package org.foxtailridge.routing.internal;

/**
 * Adaptive concurrency limits of one endpoint: how many attempts it can run without queueing.
 *
 * <p>The total limit counts the attempts of all nodes. It drops to one more than the running
 * requests when the endpoint reports a queue, drops below the attempts in flight when the endpoint
 * refuses as full, and grows by a share with each report that shows no queue, or a tolerated one,
 * while the limit is nearly used. An endpoint that reports its batch size gets it as total limit.
 * The node limit counts the attempts of this node. It follows additive increase, multiplicative
 * decrease: it drops by a share while the time between tokens is too long, and grows by one for
 * every limit's worth of answers that are fast enough. Confined to the router's thread.
 */
public final class ConcurrencyLimit {
    private static final double INITIAL_LIMIT = 32;
    private static final double MINIMUM_LIMIT = 1;
    private static final double MAXIMUM_LIMIT = 256;
    private static final double GROWTH_SHARE = 0.1;
    private static final double REFUSAL_DECREASE_FACTOR = 0.9;
    private static final double TOLERATED_QUEUE_SHARE = 0.125;
    private static final double SMOOTHING_FACTOR = 0.3;
    private static final double SLOW_TIME_BETWEEN_TOKENS_RATIO = 0.95;
    private static final double SLOW_DECREASE_FACTOR = 0.9;
    private static final long MINIMUM_DECREASE_INTERVAL_MILLISECONDS = 1_500;

    private double mTotalLimit = INITIAL_LIMIT;
    private double mNodeLimit = MAXIMUM_LIMIT;
    private double mTimeBetweenTokensRatio;
    private long mDecreasedMilliseconds = -MINIMUM_DECREASE_INTERVAL_MILLISECONDS;

    public double nodeLimit() {
        return mNodeLimit;
    }

    public double totalLimit() {
        return mTotalLimit;
    }

    /**
     * Adapts the total limit to a load report.
     *
     * @param running requests in the endpoint's running batch
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

    /**
     * Sets the total limit to the batch size that the endpoint reports, in place of an estimate.
     */
    public void setBatchSize(int requests) {
        mTotalLimit = requests;
    }

    /**
     * Adapts the node limit to an observed time between tokens.
     *
     * @param ratioToTarget mean time between tokens of an answer, divided by the target
     * @param inFlight attempts of this node in flight on the endpoint
     * @param now instant, in milliseconds since the epoch
     */
    public void onTimeBetweenTokens(double ratioToTarget, int inFlight, long now) {
        mTimeBetweenTokensRatio += SMOOTHING_FACTOR * (ratioToTarget - mTimeBetweenTokensRatio);
        if (mTimeBetweenTokensRatio > SLOW_TIME_BETWEEN_TOKENS_RATIO
                && now - mDecreasedMilliseconds >= MINIMUM_DECREASE_INTERVAL_MILLISECONDS) {
            mDecreasedMilliseconds = now;
            mNodeLimit =
                    Math.max(
                            MINIMUM_LIMIT,
                            Math.min(mNodeLimit, inFlight + 1) * SLOW_DECREASE_FACTOR);
        } else if (mTimeBetweenTokensRatio < SLOW_TIME_BETWEEN_TOKENS_RATIO
                && inFlight + 1 >= mNodeLimit * SLOW_DECREASE_FACTOR) {
            mNodeLimit = Math.min(MAXIMUM_LIMIT, mNodeLimit + 1 / mNodeLimit);
        }
    }

    /**
     * Lowers the total limit after the endpoint refused an attempt because it was full.
     *
     * @param inFlight attempts of all nodes in flight on the endpoint, without the refused one
     */
    public void onRefusal(int inFlight) {
        mTotalLimit =
                Math.max(MINIMUM_LIMIT, Math.min(mTotalLimit, inFlight) * REFUSAL_DECREASE_FACTOR);
    }
}
