package org.foxtailridge.endtoend.harness;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The answer of a {@link RawWorker} to one request, written byte by byte from the test. */
public final class RawAnswer {
    private final RawWorker mWorker;
    private final String mHead;
    private final String mBody;
    private final int mAttempt;
    private final DataInputStream mFromWorker;
    private final DataOutputStream mToWorker;

    RawAnswer(RawWorker worker, String head, String body, int attempt, Socket socket)
            throws IOException {
        mWorker = worker;
        mHead = head;
        mBody = body;
        mAttempt = attempt;
        mFromWorker = new DataInputStream(socket.getInputStream());
        mToWorker = new DataOutputStream(socket.getOutputStream());
    }

    public RawWorker worker() {
        return mWorker;
    }

    /** Returns the body of the request. */
    public String body() {
        return mBody;
    }

    /** Returns 1 for the first request with this body, 2 for the second and so on. */
    public int attempt() {
        return mAttempt;
    }

    /** Returns the number of the event after which the request asks to go on; 0 for none. */
    public int resumedAfter() {
        String id = header("last-event-id");
        return id.isEmpty() ? 0 : Integer.parseInt(id);
    }

    /** Returns the value of a header of the request; empty if it is absent. */
    public String header(String name) {
        String start = name.toLowerCase(Locale.ROOT) + ":";
        for (String line : mHead.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(start)) {
                return line.substring(start.length()).strip();
            }
        }
        return "";
    }

    /** Writes bytes; returns when the worker has handed them to its socket. */
    public void write(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mToWorker.writeByte(RawWorkerMain.WRITE);
        mToWorker.writeInt(bytes.length);
        mToWorker.write(bytes);
        if (!mFromWorker.readBoolean()) {
            throw new IOException("node closed the connection to " + mWorker.id());
        }
    }

    /** Leaves the connection open for further requests. */
    public void keep() throws IOException {
        finish(RawWorkerMain.KEEP);
    }

    /** Closes the connection in an orderly way. */
    public void close() throws IOException {
        finish(RawWorkerMain.CLOSE);
    }

    /** Resets the connection. */
    public void reset() throws IOException {
        finish(RawWorkerMain.RESET);
    }

    private void finish(byte command) throws IOException {
        mToWorker.writeByte(command);
        mFromWorker.readBoolean();
    }
}
