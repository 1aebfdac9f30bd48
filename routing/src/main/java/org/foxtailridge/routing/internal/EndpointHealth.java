package org.foxtailridge.routing.internal;

/** Failures of one endpoint, its ejection and the ramp after its return. */
public final class EndpointHealth {
    private static final long NEVER = Long.MIN_VALUE;
    private static final int MAXIMUM_DOUBLINGS = 4;

    private int mConsecutiveFailures;
    private int mEjections;
    private boolean mEjected;
    private long mEjectedUntilMilliseconds;
    private long mRampStartMilliseconds = NEVER;

    /** Returns failures since the last success. */
    public int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    /** Returns whether it was ejected and has not been let back. */
    public boolean isEjected() {
        return mEjected;
    }

    /**
     * Returns the share of its limit that it may use, from the floor up to 1.
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

    void succeeded() {
        mConsecutiveFailures = 0;
    }

    void failed() {
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

    void forgetEjections() {
        mEjections = 0;
    }

    boolean isRamping(long now, long rampMilliseconds) {
        return mRampStartMilliseconds != NEVER && now - mRampStartMilliseconds < rampMilliseconds;
    }

    private int doublings() {
        return Math.min(mEjections, MAXIMUM_DOUBLINGS);
    }
}
