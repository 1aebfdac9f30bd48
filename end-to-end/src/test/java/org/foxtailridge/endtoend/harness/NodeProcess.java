package org.foxtailridge.endtoend.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailridge.core.json.Json;

/** A node that runs as a process of its own. */
public final class NodeProcess implements AutoCloseable {
    private final String mName;
    private final String mDataCentre;
    private final JavaProcess mProcess;
    private final JsonNode mListening;

    private NodeProcess(String name, String dataCentre, JavaProcess process, JsonNode listening) {
        mName = name;
        mDataCentre = dataCentre;
        mProcess = process;
        mListening = listening;
    }

    /** Starts a node and waits until it listens. */
    static NodeProcess start(String name, String dataCentre, Path directory, String settings) {
        try {
            Path file = directory.resolve(name + ".toml");
            Files.writeString(file, settings);
            JavaProcess process =
                    JavaProcess.start(
                            name,
                            directory.resolve(name + ".log"),
                            null,
                            "org.foxtailridge.node.NodeMain",
                            "--settings",
                            file.toString());
            BufferedReader output =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.process().getInputStream(), StandardCharsets.UTF_8));
            String line = output.readLine();
            if (line == null) {
                throw new IllegalStateException(
                        "node " + name + " did not start: " + process.log());
            }
            return new NodeProcess(name, dataCentre, process, Json.read(line, JsonNode.class));
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
        return mProcess.log();
    }

    /** Ends the process at once, as a VM failure does. */
    public void kill() {
        mProcess.kill();
    }

    /** Asks the process to stop gracefully; doesn't wait. */
    public void terminate() {
        mProcess.terminate();
    }

    /** Waits until the process has ended. */
    public void waitForExit() {
        mProcess.waitForExit();
    }

    /** Stops the process from running until {@link #thaw}, as a long pause does. */
    public void freeze() {
        mProcess.signal("-STOP");
    }

    /** Lets a frozen process run on. */
    public void thaw() {
        mProcess.signal("-CONT");
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
