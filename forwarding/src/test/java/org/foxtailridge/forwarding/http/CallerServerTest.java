package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards the start of a node on its own event loop. A start that waits for a bound port blocks the
 * loop, and one on another thread reads files while the loop reads sockets.
 */
class CallerServerTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final long TIMEOUT_SECONDS = 20;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_listen_when_it_is_started_on_its_event_loop() throws Exception {
        // GIVEN
        CallerServer server = new CallerServer(mLoop, new NoRequests(), MonotonicClock.start());

        // WHEN
        CompletableFuture<Void> listening =
                CompletableFuture.supplyAsync(() -> server.listen(ANY_PORT), mLoop)
                        .thenCompose(bound -> bound);

        // THEN
        listening.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(server.address().getPort()).isPositive();
    }

    @Test
    void should_fail_when_the_address_is_in_use() throws Exception {
        // GIVEN
        CallerServer first = new CallerServer(mLoop, new NoRequests(), MonotonicClock.start());
        first.listen(ANY_PORT).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        CallerServer second = new CallerServer(mLoop, new NoRequests(), MonotonicClock.start());

        // WHEN
        CompletableFuture<Void> listening = second.listen(first.address());

        // THEN
        assertThat(listening)
                .failsWithin(Duration.ofSeconds(TIMEOUT_SECONDS))
                .withThrowableThat()
                .withMessageContaining("in use");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_handle_a_request_whose_caller_left_while_the_loop_was_busy(boolean reset)
            throws Exception {
        // GIVEN
        NoRequests handler = new NoRequests();
        CallerServer server = new CallerServer(mLoop, handler, MonotonicClock.start());
        server.listen(ANY_PORT).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        CountDownLatch busy = new CountDownLatch(1);
        mLoop.execute(() -> await(busy));

        // WHEN
        try (Socket caller = new Socket("127.0.0.1", server.address().getPort())) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(US_ASCII));
            caller.setSoLinger(reset, 0);
        }
        busy.countDown();

        // THEN the connection was accepted and is closed
        Awaitility.await()
                .atMost(Duration.ofSeconds(TIMEOUT_SECONDS))
                .until(() -> mLoop.submit(() -> handler.mAsked && server.connections() == 0).get());
        assertThat(handler.mHandled).isZero();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class NoRequests implements CallerHandler {
        private volatile boolean mAsked;
        private volatile int mHandled;

        @Override
        public CallerLimits limits() {
            mAsked = true;
            return CallerLimits.DEFAULTS;
        }

        @Override
        public void handle(CallerExchange exchange) {
            mHandled++;
        }

        @Override
        public boolean isStopping() {
            return false;
        }

        @Override
        public void refused(ErrorKind kind, String reason) {
            throw new AssertionError("expected no request");
        }
    }
}
