package org.foxtailridge.standins.time;

import java.time.Clock;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.time.MonotonicClock;

/** An event loop on a thread of its own, in real time. */
public final class ThreadEventLoop implements EventLoop {
    private static final Logger LOGGER = LogManager.getLogger(ThreadEventLoop.class);

    private final Clock mClock = MonotonicClock.start();
    private final ScheduledThreadPoolExecutor mExecutor;

    private ThreadEventLoop(String name) {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        },
                        new ScheduledThreadPoolExecutor.DiscardPolicy());
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Starts a loop.
     *
     * @param name name of its thread
     */
    public static ThreadEventLoop start(String name) {
        return new ThreadEventLoop(Objects.requireNonNull(name, "name"));
    }

    @Override
    public Clock clock() {
        return mClock;
    }

    @Override
    public void execute(Runnable task) {
        mExecutor.execute(() -> runLogged(task));
    }

    @Override
    public void after(Duration delay, Runnable task) {
        mExecutor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.error("task of a stand-in failed", failure);
        }
    }
}
