package org.foxtailridge.endtoend.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller on a plain socket that sees how its answer is framed and how its connection ends.
 *
 * <pre>{@code
 * ReceivedStream stream = RawCaller.of(fleet.node(0), "/raw/lots", "lot 7").call().join();
 * stream.complete();
 * }</pre>
 */
public final class RawCaller {
    private static final int PATIENCE_MILLISECONDS = 12_000;
    private static final AtomicLong REQUESTS = new AtomicLong();

    private final PlatformNodeProcess mNode;
    private final String mTarget;
    private final String mBody;
    private String mVersion = "HTTP/1.1";
    private int mResumeAfter;
    private long mFirstReadMilliseconds;
    private int mReceiveBuffer;
    private int mGapMilliseconds = PATIENCE_MILLISECONDS;

    private RawCaller(PlatformNodeProcess node, String target, String body) {
        mNode = node;
        mTarget = target;
        mBody = body;
    }

    /** Returns a caller that reads as fast as it can. */
    public static RawCaller of(PlatformNodeProcess node, String target, String body) {
        return new RawCaller(node, target, body);
    }

    /** Speaks an older version, in which answers have no chunks. */
    public RawCaller oldVersion() {
        mVersion = "HTTP/1.0";
        return this;
    }

    /** Asks for the events behind one; 0 asks for all. */
    public RawCaller resumeAfter(int event) {
        mResumeAfter = event;
        return this;
    }

    /** Reads nothing for a time, with little room in its socket. */
    public RawCaller slow(long firstReadMilliseconds) {
        mFirstReadMilliseconds = firstReadMilliseconds;
        mReceiveBuffer = 4_096;
        return this;
    }

    /** Gives up after a time without a byte. */
    public RawCaller giveUpAfter(int gapMilliseconds) {
        mGapMilliseconds = gapMilliseconds;
        return this;
    }

    /** Sends the request on a connection of its own and reads until the answer has ended. */
    public CompletableFuture<ReceivedStream> call() {
        CompletableFuture<ReceivedStream> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> result.complete(exchange()));
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    private ReceivedStream exchange() {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String end = "orderly";
        try (Socket socket = new Socket()) {
            if (mReceiveBuffer > 0) {
                socket.setReceiveBufferSize(mReceiveBuffer);
            }
            URI address = URI.create(mNode.callers());
            socket.connect(new InetSocketAddress(address.getHost(), address.getPort()));
            socket.setSoTimeout(mGapMilliseconds);
            socket.getOutputStream().write(request().getBytes(StandardCharsets.UTF_8));
            ScriptedStream.pause(mFirstReadMilliseconds);
            read(socket.getInputStream(), received);
        } catch (IOException failure) {
            end = failure.toString();
        }
        return RawAnswerParser.parse(received.toString(StandardCharsets.UTF_8), end);
    }

    private static void read(InputStream in, ByteArrayOutputStream received) throws IOException {
        byte[] buffer = new byte[16_384];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            received.write(buffer, 0, count);
        }
    }

    private String request() {
        long number = REQUESTS.incrementAndGet();
        StringBuilder head = new StringBuilder();
        head.append("POST ").append(mTarget).append(' ').append(mVersion).append("\r\n");
        head.append("Host: 127.0.0.1\r\nConnection: close\r\n");
        head.append("X-Request-Id: raw-").append(number).append("\r\n");
        head.append("X-Deadline-Ms: ").append(PATIENCE_MILLISECONDS).append("\r\n");
        head.append("Authorization: Bearer ").append(PlatformFleet.KEY).append("\r\n");
        head.append("X-Model: ").append(RawWorker.MODEL).append("\r\n");
        head.append("X-Token-Usage: 10,40\r\n");
        String prefix = String.format(Locale.ROOT, "%x:10", number + 0x1000);
        head.append("X-Prompt-Prefix: ").append(prefix).append("\r\n");
        if (mResumeAfter > 0) {
            head.append("Last-Event-Id: ").append(mResumeAfter).append("\r\n");
        }
        int bytes = mBody.getBytes(StandardCharsets.UTF_8).length;
        head.append("Content-Length: ").append(bytes).append("\r\n\r\n");
        return head + mBody;
    }
}
