package org.foxtailridge.placement.announced;

/** Loads from the weight store that may begin now. */
final class StoreLoads {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final double mBurst;
    private double mLevel;
    private long mFilledMilliseconds;

    StoreLoads(double burst, long now) {
        mBurst = burst;
        mLevel = burst;
        mFilledMilliseconds = now;
    }

    /** Refills at a rate; loads of a holder before may have begun, so a new holder starts empty. */
    void advance(double perSecond, long now) {
        double refill = (now - mFilledMilliseconds) * perSecond / MILLISECONDS_PER_SECOND;
        mLevel = Math.min(mBurst, mLevel + refill);
        mFilledMilliseconds = now;
    }

    void empty() {
        mLevel = 0;
    }

    /** Takes one load if it may begin now. */
    boolean tryTake() {
        if (mLevel < 1) {
            return false;
        }
        mLevel -= 1;
        return true;
    }
}
