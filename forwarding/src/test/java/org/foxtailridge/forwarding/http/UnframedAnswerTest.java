package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer without length and chunks that passes as complete although its endpoint
 * was killed: the system closes the connections of a killed process without a reset (issue 40,
 * ORDER).
 */
class UnframedAnswerTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\n\r\nall";
    private static final CallLimits LIMITS = new CallLimits(Duration.ofSeconds(20), 1_024);

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final HttpCalls mCalls =
            new HttpCalls(
                    mLoop,
                    new EndpointConnections(
                            mLoop, ConnectionSettings.defaults(), MonotonicClock.start()),
                    2);
    private ServerSocket mEndpoint;

    @BeforeEach
    void listen() throws IOException {
        mEndpoint = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws IOException {
        mEndpoint.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_be_complete_when_its_endpoint_closes_the_connection() throws Exception {
        // GIVEN
        CompletableFuture<HttpAnswer> answer = call();

        // WHEN
        try (Socket connection = mEndpoint.accept()) {
            answer(connection);
        }

        // THEN
        assertThat(new String(answer.get().body(), US_ASCII)).isEqualTo("all");
    }

    @Test
    void should_be_broken_off_when_its_endpoint_is_gone() throws Exception {
        // GIVEN
        CompletableFuture<HttpAnswer> answer = call();

        // WHEN all sockets of the endpoint are closed
        try (Socket connection = mEndpoint.accept()) {
            mEndpoint.close();
            answer(connection);
        }

        // THEN
        assertThatThrownBy(answer::get).hasRootCauseInstanceOf(CallFailedException.class);
    }

    private CompletableFuture<HttpAnswer> call() {
        EndpointAddress address = EndpointAddress.parse("127.0.0.1:" + mEndpoint.getLocalPort());
        return CompletableFuture.supplyAsync(
                        () -> mCalls.call(address, HttpMethod.GET, "/", new byte[0], LIMITS), mLoop)
                .thenCompose(answer -> answer);
    }

    /** Reads the request and answers it. */
    private static void answer(Socket connection) throws IOException {
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            head += (char) connection.getInputStream().read();
        }
        connection.getOutputStream().write(ANSWER.getBytes(US_ASCII));
    }
}
