package org.foxtailridge.standins.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import org.foxtailridge.core.time.ManualClock;

/**
 * An event loop whose time stands still until it is advanced.
 *
 * <p>Tasks without a delay run at once on the calling thread; delayed tasks run inside {@link
 * #advance}.
 *
 * <pre>{@code
 * ManualEventLoop loop = ManualEventLoop.atEpoch();
 * loop.after(Duration.ofSeconds(2), task);
 * loop.advance(Duration.ofSeconds(2)); // runs the task
 * }</pre>
 */
public final class ManualEventLoop implements EventLoop {
    private final ManualClock mClock = ManualClock.atEpoch();
    private final Queue<Runnable> mReady = new ArrayDeque<>();
    private final PriorityQueue<Delayed> mDelayed =
            new PriorityQueue<>(
                    Comparator.comparing(Delayed::due).thenComparingLong(Delayed::sequence));
    private long mSequence;
    private boolean mRunning;

    private ManualEventLoop() {}

    /** Returns a loop whose clock stands at the epoch. */
    public static ManualEventLoop atEpoch() {
        return new ManualEventLoop();
    }

    @Override
    public Clock clock() {
        return mClock;
    }

    @Override
    public synchronized void execute(Runnable task) {
        mReady.add(task);
        if (!mRunning) {
            drain();
        }
    }

    @Override
    public synchronized void after(Duration delay, Runnable task) {
        mDelayed.add(new Delayed(mClock.instant().plus(delay), mSequence++, task));
    }

    /**
     * Advances the clock and runs the tasks that become due, each at its own instant.
     *
     * @param duration amount to advance by; not negative
     */
    public synchronized void advance(Duration duration) {
        Instant end = mClock.instant().plus(duration);
        while (!mDelayed.isEmpty() && !mDelayed.peek().due().isAfter(end)) {
            Delayed next = mDelayed.poll();
            moveTo(next.due());
            execute(next.task());
        }
        moveTo(end);
    }

    @Override
    public synchronized void close() {
        mReady.clear();
        mDelayed.clear();
    }

    private void moveTo(Instant instant) {
        Duration step = Duration.between(mClock.instant(), instant);
        if (!step.isNegative()) {
            mClock.advance(step);
        }
    }

    private void drain() {
        mRunning = true;
        try {
            Runnable task = mReady.poll();
            while (task != null) {
                task.run();
                task = mReady.poll();
            }
        } finally {
            mRunning = false;
        }
    }

    private record Delayed(Instant due, long sequence, Runnable task) {}
}
