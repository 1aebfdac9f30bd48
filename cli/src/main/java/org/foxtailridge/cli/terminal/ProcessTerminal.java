package org.foxtailridge.cli.terminal;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The terminal of the running process. */
public final class ProcessTerminal implements Terminal {
    private static final Logger LOGGER = LogManager.getLogger(ProcessTerminal.class);

    private final Clock mClock;

    /** Creates the terminal with the clock that commands read. */
    public ProcessTerminal(Clock clock) {
        mClock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public PrintStream out() {
        return System.out;
    }

    @Override
    public PrintStream err() {
        return System.err;
    }

    @Override
    public Clock clock() {
        return mClock;
    }

    @Override
    public boolean showsProgress() {
        return System.console() != null;
    }

    @Override
    public void pause(Duration duration) {
        Executor later =
                CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS);
        CompletableFuture.runAsync(() -> {}, later).join();
    }

    @Override
    public void awaitStop(AutoCloseable running) {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread stop =
                new Thread(
                        () -> {
                            close(running);
                            LogManager.shutdown();
                            stopped.countDown();
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(stop);
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(AutoCloseable running) {
        try {
            running.close();
        } catch (Exception failure) {
            LOGGER.error("stopping failed", failure);
        }
    }
}
