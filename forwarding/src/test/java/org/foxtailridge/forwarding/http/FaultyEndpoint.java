package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;

/**
 * Endpoint on a loopback socket that answers the first request on each connection with fixed bytes,
 * then repeats others until the connection closes, whatever the protocol says.
 *
 * <pre>{@code
 * FaultyEndpoint endpoint = FaultyEndpoint.start("HTTP/1.1 200 OK\r\n", "Header: value\r\n");
 * endpoint.address();
 * }</pre>
 */
public final class FaultyEndpoint implements AutoCloseable {
    /** Number of bytes that an endpoint repeats when it never stops. */
    public static final long WITHOUT_END = Long.MAX_VALUE;

    private static final int WRITE_BYTES = 16 * 1024;
    private static final int BACKLOG = 1_024;

    private final ExecutorService mThreads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "faulty-endpoint");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mOpenConnections = new AtomicInteger();
    private final ServerSocket mServer;
    private final byte[] mStart;
    private final byte[] mRepeated;
    private final long mRepeatedBytes;

    private FaultyEndpoint(ServerSocket server, String start, String repeated, long bytes) {
        mServer = server;
        mStart = start.getBytes(ISO_8859_1);
        String block = repeated.repeat(Math.max(1, WRITE_BYTES / Math.max(1, repeated.length())));
        mRepeated = block.getBytes(ISO_8859_1);
        mRepeatedBytes = bytes;
    }

    /** Starts an endpoint that repeats bytes until the connection closes. */
    public static FaultyEndpoint start(String start, String repeated) {
        return start(start, repeated, WITHOUT_END);
    }

    /** Starts an endpoint that repeats bytes up to a number, then keeps the connection open. */
    public static FaultyEndpoint start(String start, String repeated, long repeatedBytes) {
        try {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            FaultyEndpoint endpoint = new FaultyEndpoint(server, start, repeated, repeatedBytes);
            endpoint.mThreads.execute(endpoint::accept);
            return endpoint;
        } catch (IOException unavailable) {
            throw new UncheckedIOException(unavailable);
        }
    }

    /** Returns where it listens. */
    public EndpointAddress address() {
        return new EndpointAddress("127.0.0.1", mServer.getLocalPort());
    }

    /** Returns the number of bytes written to all sockets. */
    public long sentBytes() {
        return mSentBytes.get();
    }

    /** Returns the number of requests that were answered. */
    public int requests() {
        return mRequests.get();
    }

    /** Returns the number of connections that the other side has not closed. */
    public int openConnections() {
        return mOpenConnections.get();
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
        try {
            mServer.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mOpenConnections.incrementAndGet();
                mThreads.execute(() -> answer(socket));
            }
        } catch (IOException closed) {
            mThreads.shutdownNow();
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            readHead(socket.getInputStream());
            mRequests.incrementAndGet();
            OutputStream output = socket.getOutputStream();
            output.write(mStart);
            mSentBytes.addAndGet(mStart.length);
            for (long sent = 0; sent < mRepeatedBytes; sent += mRepeated.length) {
                output.write(mRepeated);
                mSentBytes.addAndGet(mRepeated.length);
            }
            while (socket.getInputStream().read() >= 0) {
                // Requests that follow are not answered.
            }
        } catch (IOException closed) {
            // The expected end of an answer without end.
        } finally {
            mOpenConnections.decrementAndGet();
        }
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection was closed inside a request");
            }
            head.append((char) next);
        }
    }
}
