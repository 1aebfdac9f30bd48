package org.foxtailridge.endtoend.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** A node on the platform that runs as a process of its own. */
public final class PlatformNodeProcess implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1:";

    private final String mName;
    private final String mDataCentre;
    private final Path mDirectory;
    private final URI mStore;
    private final String mSeeds;
    private final Ports mPorts;
    private JavaProcess mProcess;

    PlatformNodeProcess(String name, String dataCentre, Path directory, URI store, String seeds) {
        mName = name;
        mDataCentre = dataCentre;
        mDirectory = directory;
        mStore = store;
        mPorts = Ports.free();
        mSeeds = seeds;
    }

    /** Returns the base address for callers. */
    public String callers() {
        return "http://" + LOOPBACK + mPorts.callers();
    }

    /** Returns the base address where readiness and metrics are asked for. */
    public String operators() {
        return "http://" + LOOPBACK + mPorts.operators();
    }

    /** Returns its address for other nodes. */
    public String inner() {
        return LOOPBACK + mPorts.inner();
    }

    /** Returns the lines that it has written, those of former lives included. */
    public String lines() {
        try {
            return Files.readString(outputFile());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Starts a life of the node; a later one is no first start of the fleet. */
    void start(boolean firstStart) {
        write(settings(firstStart, 8_000));
        mProcess =
                JavaProcess.start(
                        mName,
                        mDirectory.resolve(mName + ".log"),
                        outputFile(),
                        "org.foxtailridge.node.PlatformNodeMain",
                        settingsFile().toString());
    }

    /** Writes settings with another time to stop, and says so to the node if asked to. */
    public void changeStopTime(int milliseconds, boolean hangUp) {
        write(settings(false, milliseconds));
        if (hangUp) {
            mProcess.signal("-HUP");
        }
    }

    /** Writes what is no settings file. */
    public void spoilSettings() {
        write("[node]\nunknown = 1\n");
        mProcess.signal("-HUP");
    }

    /** Ends the process at once, as a VM failure does. */
    public void kill() {
        mProcess.kill();
    }

    /** Makes the process stand still, as on a machine that runs something else. */
    public void pause() {
        mProcess.signal("-STOP");
    }

    /** Lets a paused process run again. */
    public void resume() {
        mProcess.signal("-CONT");
    }

    /** Asks the process to stop gracefully; doesn't wait. */
    public void terminate() {
        mProcess.terminate();
    }

    /** Stops the process without ending it, as a VM that hangs does. */
    public void freeze() {
        mProcess.signal("-STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() {
        mProcess.signal("-CONT");
    }

    /** Waits until the process has ended. */
    public void waitForExit() {
        mProcess.waitForExit();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.process().isAlive();
    }

    @Override
    public void close() {
        mProcess.close();
    }

    private String settings(boolean firstStart, int stopMilliseconds) {
        return """
        [node]
        name = "%s"
        data_centre = "%s"
        first_start = %s
        stop_milliseconds = %d
        [callers]
        address = "%s"
        [operators]
        address = "%s"
        [inner]
        address = "%s"
        seeds = "%s"
        [platform]
        store_address = "%s"
        """
                .formatted(
                        mName,
                        mDataCentre,
                        firstStart,
                        stopMilliseconds,
                        LOOPBACK + mPorts.callers(),
                        LOOPBACK + mPorts.operators(),
                        inner(),
                        mSeeds,
                        mStore.getAuthority());
    }

    /** Replaces the file whole, so that the node never reads a half of it. */
    private void write(String settings) {
        try {
            Path next = mDirectory.resolve(mName + ".next");
            Files.writeString(next, settings);
            Files.move(next, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private Path settingsFile() {
        return mDirectory.resolve(mName + ".toml");
    }

    private Path outputFile() {
        return mDirectory.resolve(mName + ".lines");
    }

    private record Ports(int callers, int operators, int inner) {
        private static Ports free() {
            try (ServerSocket callers = new ServerSocket(0);
                    ServerSocket operators = new ServerSocket(0);
                    DatagramSocket inner = new DatagramSocket(0)) {
                return new Ports(
                        callers.getLocalPort(), operators.getLocalPort(), inner.getLocalPort());
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }
}
