package org.foxtailridge.standins.server;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** A token bucket that holds one second's worth, and at least one. Used by one thread at a time. */
public final class RateBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mPerSecond;
    private double mAvailable;
    private Instant mAsOf;

    /**
     * Creates a full bucket.
     *
     * @param clock clock that refills it
     * @param perSecond permits a second; above 0
     */
    public RateBucket(Clock clock, double perSecond) {
        if (perSecond <= 0) {
            throw new IllegalArgumentException("rate must be above 0 but was " + perSecond);
        }
        mClock = clock;
        mPerSecond = perSecond;
        mAvailable = Math.max(1, perSecond);
        mAsOf = clock.instant();
    }

    /** Takes one permit; returns false when none is left. */
    public boolean tryTake() {
        Instant now = mClock.instant();
        double seconds = Duration.between(mAsOf, now).toNanos() / NANOSECONDS_PER_SECOND;
        mAvailable = Math.min(Math.max(1, mPerSecond), mAvailable + seconds * mPerSecond);
        mAsOf = now;
        if (mAvailable < 1) {
            return false;
        }
        mAvailable -= 1;
        return true;
    }
}
