package org.foxtailridge.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Clock that starts at the time of the wall clock and then advances with the monotonic time of the
 * JVM. Thread-safe.
 *
 * <p>Later steps of the wall clock don't affect it, so leases that are measured with it expire
 * neither early nor late.
 */
public final class MonotonicClock extends Clock {
    private final Instant mOrigin;
    private final long mOriginNanoseconds;
    private final ZoneId mZone;

    private MonotonicClock(Instant origin, long originNanoseconds, ZoneId zone) {
        mOrigin = origin;
        mOriginNanoseconds = originNanoseconds;
        mZone = zone;
    }

    /** Returns a clock that starts at the current time of the wall clock. */
    public static MonotonicClock start() {
        return new MonotonicClock(Instant.now(), System.nanoTime(), ZoneOffset.UTC);
    }

    @Override
    public Instant instant() {
        return mOrigin.plus(Duration.ofNanos(System.nanoTime() - mOriginNanoseconds));
    }

    @Override
    public ZoneId getZone() {
        return mZone;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return new MonotonicClock(mOrigin, mOriginNanoseconds, zone);
    }
}
