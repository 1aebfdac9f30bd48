package org.foxtailridge.endtoend.harness;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.standins.platform.StoreStandin;

/** A worker that runs as a process of its own and writes what an {@link AnswerScript} tells it. */
public final class RawWorker implements AutoCloseable {
    static final String MODEL = "m1";

    private static final long START_SECONDS = 30;
    private static final long HEARTBEAT_MILLISECONDS = 1_200;
    private static final String ENTRY =
            """
            {"service":"%s","address":"127.0.0.1:%d","zone":"lautoka-a","version":"v1","slots":16,\
            "state":"ready","coldLeftMs":0,"born":%d,\
            "models":[{"name":"%s","version":1,"adapters":[]}],"seq":%d}""";

    private final String mId;
    private final String mService;
    private final StoreStandin mStore;
    private final JavaProcess mProcess;
    private final CountDownLatch mListening = new CountDownLatch(1);
    private final long mBorn = MonotonicClock.start().millis();
    private volatile int mPort;
    private volatile boolean mEnded;

    RawWorker(String id, String service, StoreStandin store, Path directory, int directorPort) {
        mId = id;
        mService = service;
        mStore = store;
        mProcess =
                JavaProcess.start(
                        id,
                        directory.resolve(id + ".log"),
                        directory.resolve(id + ".out"),
                        RawWorkerMain.class.getName(),
                        id,
                        Integer.toString(directorPort));
    }

    public String id() {
        return mId;
    }

    /** Kills the process with SIGKILL; its entry in the store stays. */
    public void kill() {
        mEnded = true;
        mProcess.kill();
    }

    public boolean hasEnded() {
        return mEnded;
    }

    /** Ends the process and takes its entry away. */
    @Override
    public synchronized void close() {
        kill();
        mStore.announce(mId, "");
    }

    void listensAt(int port) {
        mPort = port;
        mListening.countDown();
    }

    /** Waits until the process listens, and announces it from then on. */
    void announce() throws InterruptedException {
        if (!mListening.await(START_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("worker " + mId + " did not start: " + mProcess.log());
        }
        announce(1);
        Thread heartbeat = new Thread(this::beat, "heartbeat " + mId);
        heartbeat.setDaemon(true);
        heartbeat.start();
    }

    private void beat() {
        try {
            for (int number = 2; !mEnded; number++) {
                Thread.sleep(HEARTBEAT_MILLISECONDS);
                announce(number);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void announce(int number) {
        if (!mEnded) {
            mStore.announce(mId, ENTRY.formatted(mService, mPort, mBorn, MODEL, number));
        }
    }
}
