package org.foxtailridge.forwarding.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a short body that is taken for complete: the endpoint answered without a length
 * while a long request was still being sent, and reset the connection.
 */
class ResetWhileSendingTest {
    // More than the buffers of both sockets hold.
    private static final int LARGE_BYTES = 32 * 1024 * 1024;
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart";

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final EndpointConnections mConnections =
            new EndpointConnections(mLoop, ConnectionSettings.defaults(), MonotonicClock.start());
    private final List<String> mEvents = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @ParameterizedTest(name = "request of {0} bytes")
    @ValueSource(ints = {0, LARGE_BYTES})
    void should_fail_when_the_endpoint_resets_the_connection_inside_a_body_without_a_length(
            int requestBytes) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // GIVEN a part of an answer to a request that is not read
            mLoop.submit(() -> start(server.getLocalPort(), requestBytes)).syncUninterruptibly();
            Socket endpoint = server.accept();
            endpoint.getOutputStream().write(ANSWER.getBytes(US_ASCII));
            Awaitility.await().until(() -> mEvents.contains("part"));

            // WHEN
            endpoint.setSoLinger(true, 0);
            endpoint.close();

            // THEN
            Awaitility.await().until(() -> mEvents.size() > 2);
            assertThat(mEvents).containsExactly("head 200", "part", "failed BROKEN");
        }
    }

    @Test
    void should_complete_a_body_without_a_length_that_ends_before_the_request() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // GIVEN an answer to a request that is not read
            mLoop.submit(() -> start(server.getLocalPort(), LARGE_BYTES)).syncUninterruptibly();
            Socket endpoint = server.accept();
            endpoint.getOutputStream().write(ANSWER.getBytes(US_ASCII));

            // WHEN
            endpoint.shutdownOutput();

            // THEN
            Awaitility.await().until(() -> mEvents.size() > 2);
            assertThat(mEvents).containsExactly("head 200", "part", "complete");
            endpoint.close();
        }
    }

    private void start(int port, int requestBytes) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/",
                        Unpooled.wrappedBuffer(new byte[requestBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, requestBytes);
        EndpointAddress address = new EndpointAddress("127.0.0.1", port);
        mConnections.start(address, 1, false, request, new Recorder());
    }

    private final class Recorder implements ExchangeListener {
        @Override
        public AnswerMatch match(HttpResponse head) {
            return AnswerMatch.OWN;
        }

        @Override
        public void head(HttpResponse head) {
            mEvents.add("head " + head.status().code());
        }

        @Override
        public void content(ByteBuf content) {
            mEvents.add(content.toString(US_ASCII));
        }

        @Override
        public void complete() {
            mEvents.add("complete");
        }

        @Override
        public void failed(AttemptFailure failure, String reason) {
            mEvents.add("failed " + failure);
        }
    }
}
