package org.foxtailridge.node.duty;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.core.thread.DutyThread;

/** Offers tasks to duties at fixed intervals or after a delay. */
@Singleton
public final class DutyTimer implements AutoCloseable {
    private static final Duration FULL_RING_DELAY = Duration.ofMillis(20);

    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Creates a timer with a thread of its own. */
    @Inject
    public DutyTimer() {}

    /** Offers a task to a duty again and again; a turn that finds the ring full is left out. */
    public void every(Duration interval, DutyThread duty, Runnable task) {
        long nanoseconds = interval.toNanos();
        mExecutor.scheduleWithFixedDelay(
                () -> duty.offer(task), nanoseconds, nanoseconds, TimeUnit.NANOSECONDS);
    }

    /** Runs a short task once after a delay. */
    public void after(Duration delay, Runnable task) {
        mExecutor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Offers a task that must not be lost, again and again until the ring takes it. */
    public void offerSurely(DutyThread duty, Runnable task) {
        if (!duty.offer(task)) {
            after(FULL_RING_DELAY, () -> offerSurely(duty, task));
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
