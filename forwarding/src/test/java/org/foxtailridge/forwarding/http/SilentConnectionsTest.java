package org.foxtailridge.forwarding.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against one timeout after the other when all open connections have gone silent without a
 * reset, while new ones work.
 */
class SilentConnectionsTest {
    private static final int CONNECTIONS = 4;
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final int MAXIMUM_ANSWER_BYTES = 1_024;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final Set<Channel> mOpen = new HashSet<>();
    private final Set<Channel> mSilent = new HashSet<>();
    private EndpointAddress mAddress;
    private HttpCalls mCalls;

    @BeforeEach
    void listen() {
        Channel server =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new Server())
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        mAddress = new EndpointAddress("127.0.0.1", port);
        EndpointConnections connections =
                new EndpointConnections(
                        mLoop, ConnectionSettings.defaults(), MonotonicClock.start());
        mCalls = new HttpCalls(mLoop, connections, CONNECTIONS);
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void should_open_a_new_connection_after_a_call_that_timed_out() {
        // GIVEN as many idle connections as calls were in flight, all silent
        List<CompletableFuture<HttpAnswer>> calls =
                Stream.generate(() -> call(LONG)).limit(CONNECTIONS).toList();
        calls.forEach(CompletableFuture::join);
        mLoop.submit(() -> mSilent.addAll(mOpen)).syncUninterruptibly();

        // WHEN
        assertThatThrownBy(call(SHORT)::join).hasMessageContaining("no answer in time");

        // THEN
        assertThat(call(LONG).join().status()).isEqualTo(200);
    }

    private CompletableFuture<HttpAnswer> call(Duration timeout) {
        return CompletableFuture.supplyAsync(
                        () ->
                                mCalls.call(
                                        mAddress,
                                        HttpMethod.GET,
                                        "/",
                                        new byte[0],
                                        new CallLimits(timeout, MAXIMUM_ANSWER_BYTES)),
                        mLoop)
                .thenCompose(answer -> answer);
    }

    private final class Server extends ChannelInitializer<SocketChannel> {
        private static final int MAXIMUM_BODY_BYTES = 1_024;

        @Override
        protected void initChannel(SocketChannel channel) {
            mOpen.add(channel);
            channel.pipeline()
                    .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                            new Answerer());
        }
    }

    private final class Answerer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (mSilent.contains(context.channel())) {
                return;
            }
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            context.writeAndFlush(answer);
        }
    }
}
