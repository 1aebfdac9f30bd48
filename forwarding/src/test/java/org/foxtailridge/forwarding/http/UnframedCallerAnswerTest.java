package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a partial answer that looks complete to a caller that speaks HTTP/1.0: an orderly
 * end of its connection is the end of an answer without a length.
 */
class UnframedCallerAnswerTest {
    private static final byte[] REQUEST = "GET / HTTP/1.0\r\nHost: h\r\n\r\n".getBytes(US_ASCII);
    private static final byte[] EVENT = "id: 1\n\n".getBytes(US_ASCII);
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
    void should_reset_a_connection_that_is_closed_inside_an_answer() throws Exception {
        try (Socket caller = request()) {
            // GIVEN
            onLoop(() -> mHandler.answer(EVENT));
            readHead(caller);

            // WHEN
            onLoop(mServer::close);

            // THEN
            expectReset(caller);
        }
    }

    @Test
    void should_reset_a_connection_that_is_closed_before_an_answer_is_written() throws Exception {
        try (Socket caller = request()) {
            // GIVEN a caller that does not read a large answer
            onLoop(
                    () -> {
                        mHandler.answer(new byte[LARGE_BYTES]);
                        mHandler.mExchange.end();
                    });
            readHead(caller);

            // WHEN
            onLoop(mServer::close);

            // THEN
            expectReset(caller);
        }
    }

    @Test
    void should_reset_a_connection_whose_caller_ends_its_own_direction_inside_an_answer()
            throws Exception {
        try (Socket caller = request()) {
            // GIVEN
            onLoop(() -> mHandler.answer(EVENT));
            readHead(caller);

            // WHEN
            caller.shutdownOutput();

            // THEN
            expectReset(caller);
        }
    }

    @Test
    void should_reset_a_connection_whose_process_is_killed_inside_an_answer() throws Exception {
        Process process = TestProcess.start(UnframedAnswerProcess.class);
        int port = Integer.parseInt(process.inputReader().readLine());
        try (Socket caller = connect(port)) {
            // GIVEN
            readHead(caller);

            // WHEN
            process.destroyForcibly().waitFor();

            // THEN
            expectReset(caller);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void should_write_a_complete_answer_to_its_end() throws Exception {
        try (Socket caller = request()) {
            // GIVEN a caller that does not read a large answer
            onLoop(
                    () -> {
                        mHandler.answer(new byte[LARGE_BYTES]);
                        mHandler.mExchange.end();
                    });
            readHead(caller);

            // WHEN
            byte[] body = caller.getInputStream().readAllBytes();

            // THEN
            assertThat(body).hasSize(LARGE_BYTES);
        }
    }

    private Socket request() throws IOException {
        Socket caller = connect(mServer.address().getPort());
        Awaitility.await().until(() -> mHandler.mExchange != null);
        return caller;
    }

    /** Connects and sends a request. */
    private static Socket connect(int port) throws IOException {
        Socket caller = new Socket("127.0.0.1", port);
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        caller.getOutputStream().write(REQUEST);
        return caller;
    }

    private void onLoop(Runnable task) {
        mLoop.submit(task).syncUninterruptibly();
    }

    private static void readHead(Socket caller) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) caller.getInputStream().read());
        }
        assertThat(head).doesNotContainIgnoringCase("Content-Length", "Transfer-Encoding");
    }

    private static void expectReset(Socket caller) {
        assertThatThrownBy(() -> caller.getInputStream().readAllBytes())
                .hasMessageContaining("reset");
    }

    private static final class Handler implements CallerHandler {
        private volatile CallerExchange mExchange;

        private void answer(byte[] part) {
            mExchange.begin(200, "OK", new DefaultHttpHeaders(), OptionalLong.empty());
            mExchange.write(Unpooled.wrappedBuffer(part));
            mExchange.flush();
        }

        @Override
        public void handle(CallerExchange exchange) {
            mExchange = exchange;
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
            throw new IllegalStateException(reason);
        }
    }
}
