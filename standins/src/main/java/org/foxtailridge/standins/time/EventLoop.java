package org.foxtailridge.standins.time;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Runs tasks one at a time, at once or after a delay. */
public interface EventLoop extends AutoCloseable {
    /** Returns the clock by which delays are measured. */
    Clock clock();

    /** Runs a task after those already handed over. Does nothing once the loop is closed. */
    void execute(Runnable task);

    /**
     * Runs a task after a delay. Does nothing once the loop is closed.
     *
     * @param delay time to wait; not negative
     * @param task task to run
     */
    void after(Duration delay, Runnable task);

    /**
     * Runs a task on the loop and returns its result; not to be called on the loop itself.
     *
     * @throws java.util.concurrent.CompletionException if the task fails
     */
    default <T> T call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(
                () -> {
                    try {
                        result.complete(task.get());
                    } catch (RuntimeException failure) {
                        result.completeExceptionally(failure);
                    }
                });
        return result.join();
    }

    /** Stops the loop and drops the tasks that have not run. */
    @Override
    void close();
}
