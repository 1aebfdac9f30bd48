package org.foxtailridge.endtoend.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.json.Json;

/** A node that runs as a process of its own. */
public final class NodeProcess implements AutoCloseable {
    private static final long EXIT_SECONDS = 40;

    private final String mName;
    private final String mDataCentre;
    private final Process mProcess;
    private final Path mErrors;
    private final JsonNode mListening;

    private NodeProcess(
            String name, String dataCentre, Process process, Path errors, JsonNode listening) {
        mName = name;
        mDataCentre = dataCentre;
        mProcess = process;
        mErrors = errors;
        mListening = listening;
    }

    /** Starts a node and waits until it listens. */
    static NodeProcess start(String name, String dataCentre, Path directory, String settings) {
        try {
            Path file = directory.resolve(name + ".toml");
            Files.writeString(file, settings);
            Path errors = directory.resolve(name + ".log");
            Process process =
                    new ProcessBuilder(
                                    "java",
                                    "-Xmx160m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "org.foxtailridge.node.NodeMain",
                                    "--settings",
                                    file.toString())
                            .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                            .start();
            BufferedReader output =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            String line = output.readLine();
            if (line == null) {
                throw new IllegalStateException(
                        "node " + name + " did not start: " + Files.readString(errors));
            }
            return new NodeProcess(
                    name, dataCentre, process, errors, Json.read(line, JsonNode.class));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the name of the node. */
    public String name() {
        return mName;
    }

    /** Returns the name of its data centre. */
    public String dataCentre() {
        return mDataCentre;
    }

    /** Returns the base address for callers. */
    public String callers() {
        return mListening.path("callers").asText();
    }

    /** Returns the base address for operators. */
    public String operators() {
        return mListening.path("operators").asText();
    }

    /** Returns host and port for other nodes. */
    public String inner() {
        return mListening.path("inner").asText();
    }

    /** Returns what the node has logged. */
    public String log() {
        try {
            return Files.readString(mErrors);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Ends the process at once, as a VM failure does. */
    public void kill() {
        mProcess.destroyForcibly();
        waitForExit();
    }

    /** Asks the process to stop gracefully; doesn't wait. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Waits until the process has ended. */
    public void waitForExit() {
        try {
            if (!mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("node " + mName + " did not end");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Stops the process from running until {@link #thaw}, as a long pause does. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process run on. */
    public void thaw() {
        signal("-CONT");
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            thaw();
            mProcess.destroyForcibly();
            waitForExit();
        }
    }

    private void signal(String signal) {
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
}
