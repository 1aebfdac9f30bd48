package org.foxtailridge.routing.internal;

/**
 * The number of attempts that an endpoint is thought to run at once without a queue.
 *
 * <p>Falls to the size of the batch when the endpoint reports a queue or refuses as full, and grows
 * by a share for each report that shows none while the limit is nearly used.
 */
public final class ConcurrencyLimit {
    private static final double INITIAL = 32;
    private static final double MINIMUM = 1;
    private static final double MAXIMUM = 256;
    private static final double GROWTH_SHARE = 0.1;
    private static final double REFUSED_SHARE = 0.9;
    private static final double QUEUE_SHARE = 0.125;

    private double mLimit = INITIAL;

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
        } else if (running + waiting >= mLimit * (1 - GROWTH_SHARE) - 1) {
            mLimit = Math.min(MAXIMUM, mLimit + Math.max(1, mLimit * GROWTH_SHARE));
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
