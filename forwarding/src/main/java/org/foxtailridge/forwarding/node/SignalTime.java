package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.time.Instant;
import java.util.Objects;

/**
 * Tells since when a signal may have been pending that the process handles now. A signal that is
 * sent while the process stands still is handled late, but the platform counts from its sending.
 *
 * <p>Confined to the event loop, on which {@link #tick} is called many times a second.
 *
 * <pre>{@code
 * SignalTime signals = new SignalTime(clock);
 * signals.tick();
 * Instant began = signals.earliestSending();    // in the handler of the signal
 * }</pre>
 */
final class SignalTime {
    // A longer time between two ticks counts as a pause of the process.
    private static final long PAUSE_MILLISECONDS = 250;
    // Time within which a pending signal is handled once the process runs again.
    private static final long DELIVERY_MILLISECONDS = 500;

    private final Clock mClock;
    private long mLastTickMilliseconds;
    private long mPauseBeganMilliseconds;
    private long mPauseEndedMilliseconds = Long.MIN_VALUE / 2;

    SignalTime(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
        mLastTickMilliseconds = clock.millis();
    }

    /** Records that the event loop runs. */
    void tick() {
        long now = mClock.millis();
        if (now - mLastTickMilliseconds >= PAUSE_MILLISECONDS) {
            mPauseBeganMilliseconds = mLastTickMilliseconds;
            mPauseEndedMilliseconds = now;
        }
        mLastTickMilliseconds = now;
    }

    /** Returns the earliest instant at which the signal that is handled now was sent. */
    Instant earliestSending() {
        tick();
        boolean mayHavePended =
                mLastTickMilliseconds - mPauseEndedMilliseconds <= DELIVERY_MILLISECONDS;
        return Instant.ofEpochMilli(
                mayHavePended ? mPauseBeganMilliseconds : mLastTickMilliseconds);
    }
}
