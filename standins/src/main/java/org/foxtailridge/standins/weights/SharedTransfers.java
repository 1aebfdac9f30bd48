package org.foxtailridge.standins.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Transfers that share a speed: up to a number of them each run at full speed, beyond it all slow
 * in proportion. Used by one thread.
 */
final class SharedTransfers {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double DONE_SECONDS = 1e-9;

    private final int mAtFullSpeed;
    private final List<Transfer> mActive = new ArrayList<>();
    private Instant mAsOf = Instant.MIN;
    private long mChanges;

    SharedTransfers(int atFullSpeed) {
        mAtFullSpeed = atFullSpeed;
    }

    /** Adds a transfer that takes the given time at full speed. */
    void add(Duration atFullSpeed, Runnable done, Instant now) {
        progressTo(now);
        mActive.add(new Transfer(atFullSpeed.toNanos() / NANOSECONDS_PER_SECOND, done));
    }

    /** Returns the transfers that have ended by now, in order of their start, and drops them. */
    List<Runnable> takeDone(Instant now) {
        progressTo(now);
        List<Transfer> done =
                mActive.stream().filter(transfer -> transfer.mRemaining < DONE_SECONDS).toList();
        mActive.removeAll(done);
        return done.stream().map(transfer -> transfer.mDone).toList();
    }

    /** Returns the time until the next transfer ends if none is added; null when none is active. */
    Duration untilNext() {
        if (mActive.isEmpty()) {
            return null;
        }
        double least = Double.MAX_VALUE;
        for (Transfer transfer : mActive) {
            least = Math.min(least, transfer.mRemaining);
        }
        double seconds = Math.max(0, least) / speed();
        return Duration.ofNanos((long) Math.ceil(seconds * NANOSECONDS_PER_SECOND));
    }

    /** Counts a change of the time until the next transfer ends, and returns the count. */
    long countChange() {
        return ++mChanges;
    }

    /** Returns how many changes have been counted. */
    long changes() {
        return mChanges;
    }

    private double speed() {
        return Math.min(1.0, (double) mAtFullSpeed / mActive.size());
    }

    private void progressTo(Instant now) {
        if (!mActive.isEmpty()) {
            double elapsed = Duration.between(mAsOf, now).toNanos() / NANOSECONDS_PER_SECOND;
            double progress = elapsed * speed();
            mActive.forEach(transfer -> transfer.mRemaining -= progress);
        }
        mAsOf = now;
    }

    private static final class Transfer {
        private final Runnable mDone;
        private double mRemaining;

        private Transfer(double seconds, Runnable done) {
            mRemaining = seconds;
            mDone = done;
        }
    }
}
