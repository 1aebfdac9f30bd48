package org.foxtailridge.node.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.envelope.Envelope;

/** The connection on which this node sends to one other node; opened when first needed. */
final class PeerLink {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;
    private static final int RECONNECT_MILLISECONDS = 200;
    private static final int LOW_WATER_BYTES = 256 * 1024;
    private static final int HIGH_WATER_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup mEventLoops;
    private final InetSocketAddress mAddress;
    private final ClusterSecret mSecret;
    private final PeerIdentity mIdentity;
    private final AtomicBoolean mConnecting = new AtomicBoolean();
    private volatile Channel mChannel;
    private volatile boolean mClosed;

    PeerLink(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            ClusterSecret secret,
            PeerIdentity identity) {
        mEventLoops = eventLoops;
        mAddress = address;
        mSecret = secret;
        mIdentity = identity;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    /** Sends when connected and the other side keeps up; else drops, and connects for the next. */
    boolean send(Envelope envelope) {
        Channel channel = mChannel;
        if (channel == null || !channel.isActive()) {
            connect();
            return false;
        }
        if (!channel.isWritable()) {
            return false;
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(envelope.toByteArray()));
        return true;
    }

    void close() {
        mClosed = true;
        Channel channel = mChannel;
        if (channel != null) {
            channel.close();
        }
    }

    private void connect() {
        if (mClosed || !mConnecting.compareAndSet(false, true)) {
            return;
        }
        WriteBufferWaterMark waterMark =
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
        new Bootstrap()
                .group(mEventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                PeerFrames.addTo(channel.pipeline());
                                channel.pipeline().addLast(handshake());
                            }
                        })
                .connect(mAddress)
                .addListener(connected -> onConnected((ChannelFuture) connected));
    }

    private HandshakeHandler handshake() {
        return new HandshakeHandler(mSecret, mIdentity, this::onProven);
    }

    private void onConnected(ChannelFuture connected) {
        if (!connected.isSuccess()) {
            allowReconnect();
            return;
        }
        connected.channel().closeFuture().addListener(closed -> allowReconnect());
    }

    /** Lets the next message open a connection, but not at once. */
    private void allowReconnect() {
        mEventLoops.schedule(
                () -> mConnecting.set(false), RECONNECT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void onProven(ChannelHandlerContext context, NodeName node) {
        mChannel = context.channel();
        if (mClosed) {
            context.close();
        }
    }
}
