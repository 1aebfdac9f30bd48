package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

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

    private static final class NoRequests implements CallerHandler {
        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULTS;
        }

        @Override
        public void handle(CallerExchange exchange) {
            throw new AssertionError("expected no request");
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
