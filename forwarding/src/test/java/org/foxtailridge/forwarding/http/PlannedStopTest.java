package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests and answers that are cut off by the end of a planned stop. */
class PlannedStopTest {
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(US_ASCII);
    private static final byte[] HALF_A_REQUEST =
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf".getBytes(US_ASCII);
    // More than the buffers of both sockets hold.
    private static final int LARGE_BYTES = 32 * 1024 * 1024;
    private static final int TIMEOUT_MILLISECONDS = 20_000;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final Handler mHandler = new Handler();
    private final CallerServer mServer = new CallerServer(mLoop, mHandler, MonotonicClock.start());

    @BeforeEach
    void listen() {
        mServer.listen(new InetSocketAddress("127.0.0.1", 0)).join();
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_not_accept_requests_on_open_connections_once_it_is_closed() throws Exception {
        try (Socket caller = connect()) {
            // GIVEN a connection that has been used
            exchange(caller);
            int handled = mHandler.mHandled;

            // WHEN a request arrives after the node has found that none is left
            mLoop.submit(mServer::close).syncUninterruptibly();
            sendAnyway(caller);

            // THEN the connection is closed, and nothing was read
            assertThat(isClosed(caller)).isTrue();
            assertThat(mHandler.mHandled).isEqualTo(handled);
        }
    }

    @Test
    void should_count_an_answer_that_is_not_written_yet_as_in_flight() throws Exception {
        // GIVEN a caller that does not read a large answer
        mHandler.mAnswerBytes = LARGE_BYTES;
        try (Socket caller = connect()) {
            caller.getOutputStream().write(REQUEST);
            Awaitility.await().until(() -> mHandler.mHandled == 1);

            // WHEN
            int busy = onLoop(mServer::busyConnections);
            mLoop.submit(() -> mServer.closeIdle(Duration.ZERO)).syncUninterruptibly();

            // THEN it gets the whole answer when it reads
            assertThat(busy).isEqualTo(1);
            assertThat(caller.getInputStream().readNBytes(LARGE_BYTES)).hasSize(LARGE_BYTES);
            Awaitility.await().until(() -> onLoop(mServer::busyConnections) == 0);
        }
    }

    @Test
    void should_write_an_answer_that_is_given_right_before_the_close() throws Exception {
        // GIVEN a request that is not answered yet
        mHandler.mHoldsAnswers = true;
        try (Socket caller = connect()) {
            caller.getOutputStream().write(REQUEST);
            Awaitility.await().until(() -> mHandler.mHeld != null);

            // WHEN
            mLoop.submit(
                            () -> {
                                mHandler.answer(mHandler.mHeld);
                                mServer.close();
                            })
                    .syncUninterruptibly();

            // THEN
            String answer = new String(caller.getInputStream().readAllBytes(), US_ASCII);
            assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\n\0\0");
        }
    }

    @Test
    void should_refuse_a_request_whose_body_is_incomplete_when_it_closes() throws Exception {
        // GIVEN
        try (Socket caller = connect()) {
            caller.getOutputStream().write(HALF_A_REQUEST);
            Awaitility.await().until(() -> onLoop(mServer::busyConnections) == 1);

            // WHEN
            mLoop.submit(mServer::close).syncUninterruptibly();

            // THEN
            String answer = new String(caller.getInputStream().readAllBytes(), US_ASCII);
            assertThat(answer)
                    .startsWith("HTTP/1.1 503 ")
                    .containsIgnoringCase("retry-after: ")
                    .contains("stopping");
            assertThat(mHandler.mHandled).isZero();
        }
    }

    private int onLoop(Callable<Integer> count) throws Exception {
        return mLoop.submit(count).get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket("127.0.0.1", mServer.address().getPort());
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static void exchange(Socket caller) throws IOException {
        caller.getOutputStream().write(REQUEST);
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            head += (char) caller.getInputStream().read();
        }
        caller.getInputStream().readNBytes(Handler.SHORT_BYTES);
    }

    private static void sendAnyway(Socket caller) {
        try {
            caller.getOutputStream().write(REQUEST);
        } catch (IOException alreadyReset) {
            assertThat(alreadyReset).isNotNull();
        }
    }

    private static boolean isClosed(Socket caller) {
        try {
            return caller.getInputStream().read() < 0;
        } catch (IOException reset) {
            return reset instanceof java.net.SocketException;
        }
    }

    private static final class Handler implements CallerHandler {
        private static final int SHORT_BYTES = 2;

        private volatile int mAnswerBytes = SHORT_BYTES;
        private volatile int mHandled;
        private volatile boolean mHoldsAnswers;
        private volatile CallerExchange mHeld;

        @Override
        public void handle(CallerExchange exchange) {
            mHandled++;
            if (mHoldsAnswers) {
                mHeld = exchange;
            } else {
                answer(exchange);
            }
        }

        private void answer(CallerExchange exchange) {
            exchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.of(mAnswerBytes));
            exchange.write(Unpooled.wrappedBuffer(new byte[mAnswerBytes]));
            exchange.end();
        }

        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULTS;
        }

        @Override
        public boolean isStopping() {
            return false;
        }

        @Override
        public void refused(ErrorKind kind, String reason) {
            if (kind != ErrorKind.STOPPING) {
                throw new IllegalStateException(reason);
            }
        }
    }
}
