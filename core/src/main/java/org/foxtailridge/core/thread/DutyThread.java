package org.foxtailridge.core.thread;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import com.lmax.disruptor.util.DaemonThreadFactory;
import java.util.Objects;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Single-threaded executor of one duty, fed through a bounded ring.
 *
 * <p>Only tasks on this thread access the state of the duty, so that it needs no locks. A full ring
 * rejects a task instead of blocking the thread that offers it. A task that throws is logged, and
 * the next one runs.
 *
 * <pre>{@code
 * DutyThread duty = DutyThread.start("limits", 4096);
 * boolean accepted = duty.offer(() -> limits.handle(message));
 * }</pre>
 */
public final class DutyThread implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(DutyThread.class);
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final String mName;
    private final Disruptor<Slot> mDisruptor;
    private final RingBuffer<Slot> mRing;

    private DutyThread(String name, int capacity) {
        mName = name;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        capacity,
                        namedThreads(name),
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.handleEventsWith((slot, sequence, endOfBatch) -> slot.run());
        mDisruptor.setDefaultExceptionHandler(new LoggingExceptionHandler(name));
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Starts the thread of a duty.
     *
     * @param name name of the duty, which becomes the name of the thread
     * @param capacity number of tasks that the ring can hold; a power of two
     */
    public static DutyThread start(String name, int capacity) {
        Objects.requireNonNull(name, "name");
        if (Integer.bitCount(capacity) != 1) {
            throw new IllegalArgumentException(
                    "capacity must be a power of two but was " + capacity);
        }
        DutyThread duty = new DutyThread(name, capacity);
        duty.mDisruptor.start();
        return duty;
    }

    /**
     * Offers a task without blocking. Safe to call from any thread.
     *
     * @param task task to run on the thread of the duty
     * @return false if the ring is full; the task is then rejected and never runs
     */
    public boolean offer(Runnable task) {
        Objects.requireNonNull(task, "task");
        return mRing.tryPublishEvent((slot, sequence, offered) -> slot.mTask = offered, task);
    }

    public String name() {
        return mName;
    }

    /** Returns the number of free slots in the ring. */
    public long remainingCapacity() {
        return mRing.remainingCapacity();
    }

    /**
     * Runs the tasks that are already in the ring and stops the thread, after 5 s at the latest.
     */
    @Override
    public void close() {
        try {
            mDisruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException timeout) {
            LOGGER.warn("duty {} did not finish its tasks in time; stopping its thread", mName);
            mDisruptor.halt();
        }
    }

    private static ThreadFactory namedThreads(String name) {
        return task -> {
            Thread thread = DaemonThreadFactory.INSTANCE.newThread(task);
            thread.setName(name);
            return thread;
        };
    }

    private static final class Slot {
        private Runnable mTask;

        private void run() {
            Runnable task = mTask;
            mTask = null;
            task.run();
        }
    }

    private static final class LoggingExceptionHandler implements ExceptionHandler<Slot> {
        private final String mDuty;

        private LoggingExceptionHandler(String duty) {
            mDuty = duty;
        }

        @Override
        public void handleEventException(Throwable throwable, long sequence, Slot slot) {
            LOGGER.error("task of duty {} failed; continuing with the next task", mDuty, throwable);
        }

        @Override
        public void handleOnStartException(Throwable throwable) {
            LOGGER.error("duty {} failed to start", mDuty, throwable);
        }

        @Override
        public void handleOnShutdownException(Throwable throwable) {
            LOGGER.error("duty {} failed to stop", mDuty, throwable);
        }
    }
}
