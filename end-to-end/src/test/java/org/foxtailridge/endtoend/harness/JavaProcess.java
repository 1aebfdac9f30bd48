package org.foxtailridge.endtoend.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program of ours that runs as a process of its own and is disturbed from outside. */
final class JavaProcess implements AutoCloseable {
    private static final long EXIT_SECONDS = 40;

    private final String mName;
    private final Process mProcess;
    private final Path mLog;

    private JavaProcess(String name, Process process, Path log) {
        mName = name;
        mProcess = process;
        mLog = log;
    }

    /**
     * Starts a program.
     *
     * @param name what it is called in failures
     * @param log file that takes its standard error
     * @param output file that takes its standard output; null to read it here
     * @param words main class and arguments
     */
    static JavaProcess start(String name, Path log, Path output, String... words) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-Xmx160m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path")));
        command.addAll(List.of(words));
        try {
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
            if (output != null) {
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            }
            return new JavaProcess(name, builder.start(), log);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    Process process() {
        return mProcess;
    }

    /** Returns what it has written to standard error. */
    String log() {
        try {
            return Files.readString(mLog);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Ends it at once, as a VM failure does. */
    void kill() {
        mProcess.destroyForcibly();
        waitForExit();
    }

    /** Asks it to stop gracefully; doesn't wait. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits until it has ended. */
    void waitForExit() {
        try {
            if (!mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("process " + mName + " did not end");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Sends a signal, for example {@code -HUP}. */
    void signal(String signal) {
        try {
            new ProcessBuilder(List.of("kill", signal, Long.toString(mProcess.pid())))
                    .start()
                    .waitFor();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            signal("-CONT");
            mProcess.destroyForcibly();
            waitForExit();
        }
    }
}
