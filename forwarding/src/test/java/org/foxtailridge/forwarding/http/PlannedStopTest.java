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
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests and answers that are cut off by the end of a planned stop. */
class PlannedStopTest {
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(US_ASCII);
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

        @Override
        public void handle(CallerExchange exchange) {
            mHandled++;
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
            throw new IllegalStateException(reason);
        }
    }
}
