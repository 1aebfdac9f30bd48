package org.foxtailridge.forwarding.node;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs tasks of different intervals from one timer, so that an idle node wakes up for all of them
 * together. A task that fails is logged and runs again after its interval. Confined to the event
 * loop.
 *
 * <pre>{@code
 * PeriodicTasks tasks = new PeriodicTasks(loop, clock, () -> 50);
 * tasks.add(50, this::tick);
 * tasks.add(100, this::slowTick);
 * tasks.start();
 * }</pre>
 */
final class PeriodicTasks {
    private static final Logger LOGGER = LogManager.getLogger(PeriodicTasks.class);

    private final EventLoop mLoop;
    private final Clock mClock;
    private final LongSupplier mWakeUpMilliseconds;
    private final List<Task> mTasks = new ArrayList<>();

    /**
     * Creates a timer without tasks.
     *
     * @param wakeUpMilliseconds time until the next wake-up, asked for after each one
     */
    PeriodicTasks(EventLoop loop, Clock clock, LongSupplier wakeUpMilliseconds) {
        mLoop = loop;
        mClock = clock;
        mWakeUpMilliseconds = wakeUpMilliseconds;
    }

    /** Adds a task, which runs at the wake-up that is nearest to the end of its interval. */
    void add(long intervalMilliseconds, Runnable task) {
        mTasks.add(new Task(intervalMilliseconds, task, mClock.millis()));
    }

    /** Starts the timer; it runs as long as the event loop. */
    void start() {
        mLoop.schedule(this::wakeUp, mWakeUpMilliseconds.getAsLong(), TimeUnit.MILLISECONDS);
    }

    private void wakeUp() {
        long now = mClock.millis();
        long tolerance = mWakeUpMilliseconds.getAsLong() / 2;
        for (Task task : mTasks) {
            if (now - task.mLastRunMilliseconds + tolerance >= task.mIntervalMilliseconds) {
                task.run(now);
            }
        }
        start();
    }

    private static final class Task {
        private final long mIntervalMilliseconds;
        private final Runnable mAction;
        private long mLastRunMilliseconds;

        private Task(long intervalMilliseconds, Runnable action, long now) {
            mIntervalMilliseconds = intervalMilliseconds;
            mAction = action;
            mLastRunMilliseconds = now;
        }

        private void run(long now) {
            mLastRunMilliseconds = now;
            try {
                mAction.run();
            } catch (RuntimeException | Error defect) {
                // An error would otherwise end all periodic work of a node that appears ready.
                LOGGER.error("a periodic task failed; it runs again after its interval", defect);
            }
        }
    }
}
