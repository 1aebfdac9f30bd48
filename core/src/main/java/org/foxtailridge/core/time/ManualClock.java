package org.foxtailridge.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Clock for tests and simulations, in UTC, that moves only when it is advanced. Thread-safe.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.atEpoch();
 * clock.advance(Duration.ofSeconds(5));
 * }</pre>
 */
public final class ManualClock extends Clock {
    private final AtomicReference<Instant> mNow;

    private ManualClock(Instant now) {
        mNow = new AtomicReference<>(now);
    }

    /** Returns a clock that is set to the epoch. */
    public static ManualClock atEpoch() {
        return new ManualClock(Instant.EPOCH);
    }

    /** Returns a clock that is set to the given instant. */
    public static ManualClock at(Instant now) {
        return new ManualClock(Objects.requireNonNull(now, "now"));
    }

    /**
     * Advances the clock.
     *
     * @param duration time to advance by; not negative
     */
    public void advance(Duration duration) {
        if (duration.isNegative()) {
            throw new IllegalArgumentException("duration must not be negative but was " + duration);
        }
        mNow.updateAndGet(now -> now.plus(duration));
    }

    @Override
    public Instant instant() {
        return mNow.get();
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new IllegalArgumentException("zone must be UTC but was " + zone);
    }
}
