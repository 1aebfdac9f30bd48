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
    private static final double INITIAL = 32;
    private static final double MINIMUM = 1;
    private static final double MAXIMUM = 256;
    private static final double GROWTH_SHARE = 0.1;
    private static final double REFUSED_SHARE = 0.9;
    private static final double QUEUE_SHARE = 0.125;
    private static final double RECENT_WEIGHT = 0.3;
    private static final double SLOW_SHARE = 0.95;
    private static final double SLOWED_SHARE = 0.9;
    private static final long SLOWED_MILLISECONDS = 1_500;

    private double mLimit = INITIAL;
    private double mOwnLimit = MAXIMUM;
    private double mPace;
    private long mSlowedMilliseconds = -SLOWED_MILLISECONDS;

    /** Returns the limit of this node's own attempts. */
    public double own() {
        return mOwnLimit;
    }

    /** Returns the limit, in attempts. */
    public double value() {
        return mLimit;
    }

    /**
     * Takes in a load report.
     *
     * @param running requests in the batch
     * @param waiting requests in the endpoint's queue
     */
    public void reported(int running, int waiting) {
        if (waiting > Math.max(1, running * QUEUE_SHARE)) {
            mLimit = Math.max(MINIMUM, Math.min(mLimit, running + 1));
        } else if (running + waiting >= Math.max(1, mLimit * (1 - GROWTH_SHARE) - 1)) {
            mLimit = Math.min(MAXIMUM, mLimit + Math.max(1, mLimit * GROWTH_SHARE));
        }
    }

    /** Takes in how many requests the endpoint runs at once; a known size needs no estimate. */
    public void batchSize(int requests) {
        mLimit = requests;
    }

    /**
     * Takes in how fast tokens come.
     *
     * @param ofTarget time between tokens, as a share of the largest that is wanted
     * @param inFlight attempts of this node in flight there
     * @param now instant, in milliseconds since the epoch
     */
    public void paced(double ofTarget, int inFlight, long now) {
        mPace += RECENT_WEIGHT * (ofTarget - mPace);
        if (mPace > SLOW_SHARE && now - mSlowedMilliseconds >= SLOWED_MILLISECONDS) {
            mSlowedMilliseconds = now;
            mOwnLimit = Math.max(MINIMUM, Math.min(mOwnLimit, inFlight + 1) * SLOWED_SHARE);
        } else if (mPace < SLOW_SHARE && inFlight + 1 >= mOwnLimit * SLOWED_SHARE) {
            mOwnLimit = Math.min(MAXIMUM, mOwnLimit + 1 / mOwnLimit);
        }
    }

    /**
     * Takes in a refusal of an endpoint that was full.
     *
     * @param inFlight attempts in flight there, without the refused one
     */
    public void refused(int inFlight) {
        mLimit = Math.max(MINIMUM, Math.min(mLimit, inFlight) * REFUSED_SHARE);
    }
}
