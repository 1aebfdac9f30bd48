package org.foxtailridge.forwarding.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP/1.1 server for callers. Its connections are handled on the given event loop, on which {@link
 * #closeIdle} and {@link #tick} are called too.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(loop, handler, clock);
 * server.listen(address).thenRun(ready);
 * server.closeIdle(Duration.ofMillis(400));   // planned stop: connections without a request
 * server.close();    // once no request is left
 * }</pre>
 */
public final class CallerServer {
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MAXIMUM_LINE_BYTES = 16_384;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;
    // The network library's default for connections that it configures itself.
    private static final int READS_PER_EVENT = 16;
    // Bounds the memory for the answer to a caller that does not read: 256 KiB.
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(64 * 1024, 256 * 1024);

    private final EventLoop mLoop;
    private final CallerHandler mHandler;
    private final Clock mClock;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private Channel mChannel;

    /** Creates a server; it accepts connections after {@link #listen}. */
    public CallerServer(EventLoop loop, CallerHandler handler, Clock clock) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mHandler = Objects.requireNonNull(handler, "handler");
        mClock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Binds the address and accepts connections. May be called on the event loop.
     *
     * @return completes once the address is bound; fails when it is not available
     */
    public CompletableFuture<Void> listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readsToTheEnd())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(address);
        mChannel = bound.channel();
        return ChannelFutures.toCompletable(bound);
    }

    /** Returns the bound address, with the actual port when port 0 was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /**
     * Closes the address and every connection. A request whose body is still arriving is refused as
     * not run; one that arrives afterwards is not read, so that its caller may send it to another
     * node.
     */
    public void close() {
        if (mChannel != null) {
            mChannel.close();
        }
        List.copyOf(mConnections).forEach(CallerConnection::close);
    }

    /** Closes connections without a request that have been idle for at least the given time. */
    public void closeIdle(Duration idle) {
        long before = mClock.millis() - idle.toMillis();
        List.copyOf(mConnections).forEach(connection -> connection.closeIfIdleSince(before));
    }

    /** Enforces the timeouts of {@link CallerHandler#limits}; called several times a second. */
    public void tick() {
        long now = mClock.millis();
        List.copyOf(mConnections).forEach(connection -> connection.checkTimeouts(now));
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mConnections.size();
    }

    /** Returns the number of connections with a request that is being read or answered. */
    public int busyConnections() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    /**
     * Returns an allocator with which a read continues until nothing is left, so that the end of a
     * connection is seen with the last request on it. When the event loop was busy for a while, the
     * callers of some requests have left already.
     */
    private static RecvByteBufAllocator readsToTheEnd() {
        return new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(READS_PER_EVENT);
    }

    private void accept(SocketChannel channel) {
        CallerConnection connection =
                new CallerConnection(channel, mHandler, mClock, mConnections::remove);
        mConnections.add(connection);
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(
                                Math.min(MAXIMUM_LINE_BYTES, mHandler.limits().maximumHeadBytes()))
                        .setMaxHeaderSize(mHandler.limits().maximumHeadBytes())
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES);
        channel.pipeline().addLast(new ReadTimestampHandler(connection, mClock));
        channel.pipeline().addLast(new HttpServerCodec(config), connection);
    }
}
