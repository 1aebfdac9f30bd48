package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against side effects of the check that follows an answer without a length. */
class UnframedAnswerCheckTest {
    private static final Duration WAIT = Duration.ofSeconds(20);
    // Several times the time for which an endpoint is watched after it has accepted a connection.
    private static final Duration AFTER_CHECK = Duration.ofMillis(400);
    private static final long PROCESS_EXIT_MILLISECONDS = 15;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final EndpointConnections mConnections =
            new EndpointConnections(mLoop, ConnectionSettings.defaults(), MonotonicClock.start());
    private ServerSocket mEndpoint;

    @BeforeEach
    void listen() throws IOException {
        mEndpoint = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        mEndpoint.setSoTimeout(2 * (int) AFTER_CHECK.toMillis());
    }

    @AfterEach
    void stop() throws IOException {
        mEndpoint.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_leave_the_connection_limit_to_the_next_request_after_a_cancellation()
            throws Exception {
        // GIVEN
        Recorder first = new Recorder();
        Recorder second = new Recorder();
        EndpointExchange exchange = onLoop(() -> start(first, 1));
        answerNext();

        // WHEN the request is cancelled as soon as the check has begun
        CompletableFuture<Void> started = new CompletableFuture<>();
        mLoop.execute(() -> cancelOnceChecking(exchange, second, started));
        started.get();
        answerNext();

        // THEN
        assertThat(second.mEnd).succeedsWithin(WAIT).isEqualTo("complete");
        assertThat(first.mEnd).isNotDone();
    }

    @Test
    void should_fail_when_the_endpoint_stops_listening_shortly_after_the_end() throws Exception {
        // GIVEN
        Recorder listener = new Recorder();
        onLoop(() -> start(listener, 1));
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mLoop.execute(() -> closeOnceChecking(closed));

        // WHEN the check's connection waits to be accepted
        answerNext();
        closed.get();

        // THEN
        assertThat(listener.mEnd).succeedsWithin(WAIT).isEqualTo("failed BROKEN");
    }

    @Test
    void should_keep_one_connection_for_the_next_request() throws Exception {
        // GIVEN
        Recorder first = new Recorder();
        Recorder second = new Recorder();
        onLoop(() -> start(first, 1));
        answerNext();
        assertThat(first.mEnd).succeedsWithin(WAIT).isEqualTo("complete");

        // WHEN
        onLoop(() -> start(second, 1));
        answerNext();

        // THEN
        assertThat(second.mEnd).succeedsWithin(AFTER_CHECK.plus(WAIT)).isEqualTo("complete");
        assertThat(onLoop(mConnections::opened)).isEqualTo(3);
    }

    private void cancelOnceChecking(
            EndpointExchange exchange, Recorder next, CompletableFuture<Void> started) {
        if (mConnections.opened() < 2) {
            mLoop.schedule(
                    () -> cancelOnceChecking(exchange, next, started), 1, TimeUnit.MILLISECONDS);
            return;
        }
        exchange.cancel();
        start(next, 1);
        started.complete(null);
    }

    /**
     * Stops listening while the endpoint is watched; on the event loop, whose timers it precedes.
     */
    private void closeOnceChecking(CompletableFuture<Void> closed) {
        if (mConnections.opened() < 2) {
            mLoop.schedule(() -> closeOnceChecking(closed), 1, TimeUnit.MILLISECONDS);
            return;
        }
        mLoop.schedule(
                () -> {
                    mEndpoint.close();
                    return closed.complete(null);
                },
                PROCESS_EXIT_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    private EndpointExchange start(ExchangeListener listener, int limit) {
        return mConnections.start(
                EndpointAddress.parse("127.0.0.1:" + mEndpoint.getLocalPort()),
                limit,
                true,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                listener);
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return mLoop.submit(task).get();
    }

    /** Answers the next request on one of the next two connections, and closes that one. */
    private void answerNext() throws IOException {
        boolean answered = answer();
        if (!answered) {
            answer();
        }
    }

    private boolean answer() throws IOException {
        try (Socket connection = mEndpoint.accept()) {
            connection.setSoTimeout((int) AFTER_CHECK.toMillis());
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) connection.getInputStream().read());
            }
            connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nall".getBytes(US_ASCII));
            return true;
        } catch (SocketTimeoutException silent) {
            // The connection of the check carries no request.
            return false;
        }
    }

    private static final class Recorder implements ExchangeListener {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public AnswerMatch match(HttpResponse head) {
            return AnswerMatch.OWN;
        }

        @Override
        public void head(HttpResponse head) {}

        @Override
        public void content(ByteBuf content) {}

        @Override
        public void complete() {
            mEnd.complete("complete");
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            mEnd.complete("failed " + failure + (failure.mayHaveRun() ? "" : ": " + reason));
        }
    }
}
