package org.foxtailridge.endtoend.harness;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailridge.standins.platform.StoreStandin;

/**
 * Workers of one service, each a process of its own, whose answers the test writes.
 *
 * <pre>{@code
 * RawWorkers workers = RawWorkers.of("raw", fleet.store());
 * workers.start(2);
 * workers.setScript(answer -> answer.worker().kill());
 * }</pre>
 */
public final class RawWorkers implements AutoCloseable {
    private static final int BACKLOG = 256;

    private final String mService;
    private final StoreStandin mStore;
    private final Path mDirectory;
    private final ServerSocket mServer;
    private final AtomicInteger mStarted = new AtomicInteger();
    private final Map<String, RawWorker> mWorkers = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mAttempts = new ConcurrentHashMap<>();
    private volatile AnswerScript mScript = RawAnswer::close;

    private RawWorkers(String service, StoreStandin store) throws IOException {
        mService = service;
        mStore = store;
        mDirectory = Files.createTempDirectory("foxtailridge-raw-workers");
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    /** Returns no worker yet; they listen for the scripts of this test. */
    public static RawWorkers of(String service, StoreStandin store) throws IOException {
        return new RawWorkers(service, store);
    }

    /** Starts further workers, and returns when they are announced. */
    public List<RawWorker> start(int count) {
        List<RawWorker> workers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String id = "i-" + mService + "-" + mStarted.incrementAndGet();
            RawWorker worker =
                    new RawWorker(id, mService, mStore, mDirectory, mServer.getLocalPort());
            mWorkers.put(id, worker);
            workers.add(worker);
        }
        try {
            for (RawWorker worker : workers) {
                worker.announce();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
        return workers;
    }

    /** Ends the workers that were killed, and starts one for each so that there are so many. */
    public List<RawWorker> replaceEnded(int count) {
        mWorkers.values().removeIf(RawWorkers::isEnded);
        return start(Math.max(0, count - mWorkers.size()));
    }

    /** Sets what answers are written to requests from now on. */
    public void setScript(AnswerScript script) {
        mScript = script;
    }

    /** Returns how many requests with a body have reached workers. */
    public int attempts(String body) {
        AtomicInteger attempts = mAttempts.get(body);
        return attempts == null ? 0 : attempts.get();
    }

    @Override
    public void close() throws IOException {
        mWorkers.values().forEach(RawWorker::close);
        mServer.close();
    }

    private static boolean isEnded(RawWorker worker) {
        if (worker.hasEnded()) {
            worker.close();
        }
        return worker.hasEnded();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                daemon(() -> serve(socket));
            } catch (IOException failure) {
                if (!mServer.isClosed()) {
                    System.err.println("workers can't reach the test: " + failure);
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            RawWorker worker = mWorkers.get(in.readUTF());
            int port = in.readInt();
            if (port > 0) {
                worker.listensAt(port);
                return;
            }
            String head = in.readUTF();
            String body = in.readUTF();
            int attempt =
                    mAttempts.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
            mScript.answer(new RawAnswer(worker, head, body, attempt, socket));
        } catch (IOException failure) {
            // A worker that was killed can't say that it has written.
            System.err.println("answer not written to its end: " + failure);
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
