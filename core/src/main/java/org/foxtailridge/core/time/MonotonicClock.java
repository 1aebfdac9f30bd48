package org.foxtailridge.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the wall clock's time and then advances with the runtime's monotonic time.
 *
 * <p>Steps of the wall clock after creation do not move it, so that leases measured with it neither
 * lapse early nor last longer.
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

    /** Returns a clock that starts now. */
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
