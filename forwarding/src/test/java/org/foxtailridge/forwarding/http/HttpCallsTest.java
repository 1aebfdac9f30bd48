package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.configuration.CallerLimits;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards reuse and limits of connections by calls over loopback to a server with Keep-Alive. */
class HttpCallsTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final int MAXIMUM_ANSWER_BYTES = 1_024;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final Server mServer = new Server();
    private EndpointAddress mAddress;
    private EndpointConnections mConnections;
    private HttpCalls mCalls;

    @BeforeEach
    void listen() {
        CallerServer server = new CallerServer(mLoop, mServer, MonotonicClock.start());
        server.listen(new InetSocketAddress("127.0.0.1", 0)).join();
        mAddress = new EndpointAddress("127.0.0.1", server.address().getPort());
        mConnections =
                new EndpointConnections(
                        mLoop, ConnectionSettings.defaults(), MonotonicClock.start());
        mCalls = new HttpCalls(mLoop, mConnections, 2);
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_close_idle_connections_that_are_not_reusable_when_the_limit_is_reached() {
        // GIVEN a server whose connections are never reusable, and a limit of two connections
        mServer.mKeepAlive = "timeout=0";

        // WHEN
        List<HttpAnswer> answers = new ArrayList<>();
        for (int call = 0; call < 6; call++) {
            answers.add(call("/").join());
        }

        // THEN
        assertThat(answers).extracting(HttpAnswer::status).containsOnly(200);
    }

    @Test
    void should_reuse_a_connection_within_the_keep_alive_timeout() {
        // WHEN
        call("/").join();
        call("/").join();

        // THEN
        assertThat(mConnections.opened()).isEqualTo(1);
    }

    @Test
    void should_fail_a_call_without_an_answer_within_the_timeout() {
        // GIVEN
        mServer.mSilent = true;

        // WHEN
        CompletableFuture<HttpAnswer> answer = start("/", Duration.ofMillis(50));

        // THEN
        assertThatThrownBy(answer::join)
                .isInstanceOf(CompletionException.class)
                .hasCauseInstanceOf(CallFailedException.class)
                .hasMessageContaining("no answer in time");
    }

    @Test
    void should_close_the_connection_of_a_cancelled_call() {
        // GIVEN a call without an answer
        mServer.mSilent = true;
        CompletableFuture<HttpAnswer> silent = new CompletableFuture<>();
        mLoop.submit(
                        () -> {
                            CompletableFuture<HttpAnswer> answer =
                                    mCalls.call(
                                            mAddress,
                                            HttpMethod.GET,
                                            "/",
                                            new byte[0],
                                            new CallLimits(LONG, MAXIMUM_ANSWER_BYTES));
                            silent.whenComplete((unused, failure) -> answer.cancel(false));
                        })
                .syncUninterruptibly();
        Awaitility.await().until(() -> mServer.mHandled == 1);

        // WHEN
        mLoop.submit(() -> silent.cancel(false)).syncUninterruptibly();

        // THEN
        Awaitility.await().until(() -> mServer.mLeft == 1);
    }

    private CompletableFuture<HttpAnswer> call(String target) {
        return start(target, LONG);
    }

    private CompletableFuture<HttpAnswer> start(String target, Duration timeout) {
        return CompletableFuture.supplyAsync(
                        () ->
                                mCalls.call(
                                        mAddress,
                                        HttpMethod.GET,
                                        target,
                                        new byte[0],
                                        new CallLimits(timeout, MAXIMUM_ANSWER_BYTES)),
                        mLoop)
                .thenCompose(answer -> answer);
    }

    private static final class Server implements CallerHandler {
        private String mKeepAlive = "timeout=60";
        private volatile boolean mSilent;
        private volatile int mHandled;
        private volatile int mLeft;

        @Override
        public void handle(CallerExchange exchange) {
            mHandled++;
            if (mSilent) {
                exchange.setListener(new LeaveCounter());
                return;
            }
            HttpHeaders headers = new DefaultHttpHeaders().set("Keep-Alive", mKeepAlive);
            byte[] body = "ok".getBytes(StandardCharsets.UTF_8);
            exchange.begin(200, "OK", headers, OptionalLong.of(body.length));
            exchange.write(Unpooled.wrappedBuffer(body));
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

        private final class LeaveCounter implements CallerListener {
            @Override
            public void disconnected() {
                mLeft++;
            }

            @Override
            public void writabilityChanged(boolean writable) {}
        }
    }
}
