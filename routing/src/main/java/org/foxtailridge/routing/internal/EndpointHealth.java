package org.foxtailridge.routing.internal;

/**
 * Consecutive failures of one endpoint, its ejection, and the ramp-up after its readmission.
 *
 * <p>Each further ejection lasts twice as long as the one before, up to 16 times the first, until
 * {@link #resetEjections} is called. Confined to the router's thread.
 */
public final class EndpointHealth {
    private static final long NEVER = Long.MIN_VALUE;
    private static final int MAXIMUM_DOUBLINGS = 4;

    private int mConsecutiveFailures;
    private int mEjections;
    private boolean mEjected;
    private long mEjectedUntilMilliseconds;
    private long mRampStartMilliseconds = NEVER;

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    /** Returns whether the endpoint was ejected and not yet readmitted. */
    public boolean isEjected() {
        return mEjected;
    }

    /**
     * Returns the share of its concurrency limit that the endpoint may use. It grows linearly from
     * the initial share to 1 during the ramp.
     *
     * @param now instant, in milliseconds since the epoch
     * @param rampMilliseconds length of the ramp, in milliseconds
     * @param initialShare share at the start of the ramp
     */
    public double rampShare(long now, long rampMilliseconds, double initialShare) {
        if (mRampStartMilliseconds == NEVER) {
            return 1;
        }
        double elapsed = (double) (now - mRampStartMilliseconds) / rampMilliseconds;
        return Math.min(1, initialShare + (1 - initialShare) * elapsed);
    }

    void startRamp(long now) {
        mRampStartMilliseconds = now;
        mConsecutiveFailures = 0;
    }

    void recordSuccess() {
        mConsecutiveFailures = 0;
    }

    void recordFailure() {
        mConsecutiveFailures++;
    }

    boolean isEjectionOver(long now) {
        return mEjected && now >= mEjectedUntilMilliseconds;
    }

    void eject(long now, long ejectionMilliseconds) {
        mEjected = true;
        mEjectedUntilMilliseconds = now + (ejectionMilliseconds << doublings());
        mEjections++;
    }

    void readmit(long now) {
        mEjected = false;
        startRamp(now);
    }

    void resetEjections() {
        mEjections = 0;
    }

    boolean isRamping(long now, long rampMilliseconds) {
        return mRampStartMilliseconds != NEVER && now - mRampStartMilliseconds < rampMilliseconds;
    }

    private int doublings() {
        return Math.min(mEjections, MAXIMUM_DOUBLINGS);
    }
}
