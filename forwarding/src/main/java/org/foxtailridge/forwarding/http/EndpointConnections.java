package org.foxtailridge.forwarding.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;

/**
 * Connections to endpoints, kept open between exchanges and bounded for each address.
 *
 * <p>Confined to the thread of its event loop.
 *
 * <pre>{@code
 * EndpointConnections connections = new EndpointConnections(loop, settings, clock);
 * EndpointExchange exchange = connections.start(address, limit, true, request, listener);
 * exchange.cancel();
 * }</pre>
 */
public final class EndpointConnections {
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int CHUNK_BYTES = 16_384;

    private final EventLoop mLoop;
    private final ConnectionSettings mSettings;
    private final Clock mClock;
    private final Bootstrap mBootstrap;
    private final Map<EndpointAddress, Pool> mPools = new HashMap<>();
    private long mOpened;

    /** Creates connections of an event loop; none is open yet. */
    public EndpointConnections(EventLoop loop, ConnectionSettings settings, Clock clock) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mSettings = Objects.requireNonNull(settings, "settings");
        mClock = Objects.requireNonNull(clock, "clock");
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) settings.connectTimeout().toMillis())
                        .option(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Sends a request.
     *
     * @param address where to
     * @param limit connections that may be open to the address
     * @param repeatable whether the request may be sent again when the connection breaks
     * @param request the request; released by this method
     * @param listener told how the exchange goes, later and on this thread
     */
    public EndpointExchange start(
            EndpointAddress address,
            int limit,
            boolean repeatable,
            FullHttpRequest request,
            ExchangeListener listener) {
        Pool pool = mPools.computeIfAbsent(address, Pool::new);
        EndpointExchange exchange = new EndpointExchange(request, listener);
        EndpointConnection idle = pool.takeIdle(repeatable);
        if (idle != null) {
            exchange.begin(idle);
        } else if (pool.mOpen >= limit && !pool.closeOldest()) {
            mLoop.execute(() -> exchange.notSent("all " + limit + " connections are in use"));
        } else {
            pool.connect(exchange);
        }
        return exchange;
    }

    /** Closes the idle connections to an address that is not used any more. */
    public void forget(EndpointAddress address) {
        Pool pool = mPools.get(address);
        if (pool != null) {
            pool.closeIdle();
            if (pool.mOpen == 0) {
                mPools.remove(address);
            }
        }
    }

    /** Closes connections that have lain idle for too long; called now and then. */
    public void tick() {
        long now = mClock.millis();
        mPools.values().forEach(pool -> pool.closeOld(now));
        mPools.values().removeIf(pool -> pool.mOpen == 0);
    }

    /** Returns the connections opened since the start. */
    public long opened() {
        return mOpened;
    }

    private HttpClientCodec codec() {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                        .setMaxHeaderSize(mSettings.maximumHeadBytes())
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setValidateHeaders(false);
        return new HttpClientCodec(config, false, false);
    }

    private final class Pool implements EndpointConnection.Owner {
        private final EndpointAddress mAddress;
        private final Deque<EndpointConnection> mIdle = new ArrayDeque<>();
        private int mOpen;

        private Pool(EndpointAddress address) {
            mAddress = address;
        }

        /** Takes the connection used last, so that those not needed grow old and are closed. */
        private EndpointConnection takeIdle(boolean repeatable) {
            long now = mClock.millis();
            long most =
                    (repeatable ? mSettings.idleTime() : mSettings.idleTimeAtMostOnce()).toMillis();
            EndpointConnection latest = mIdle.peekLast();
            boolean usable = latest != null && latest.isOpen() && latest.isFresh(now, most);
            return usable ? mIdle.pollLast() : null;
        }

        /** Makes room for a new connection where an idle one can't be used for the request. */
        private boolean closeOldest() {
            EndpointConnection oldest = mIdle.pollFirst();
            if (oldest == null) {
                return false;
            }
            oldest.cancel();
            return true;
        }

        private void connect(EndpointExchange exchange) {
            mOpen++;
            mOpened++;
            EndpointConnection connection =
                    new EndpointConnection(this, mSettings.idleTime().toMillis());
            ChannelFuture connected =
                    mBootstrap
                            .clone()
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            channel.pipeline().addLast(codec(), connection);
                                        }
                                    })
                            .connect(mAddress.toSocketAddress());
            connected.addListener(
                    result -> {
                        if (connected.isSuccess()) {
                            exchange.begin(connection);
                        } else {
                            mOpen--;
                            exchange.notSent("no connection: " + connected.cause().getMessage());
                        }
                    });
        }

        @Override
        public void free(EndpointConnection connection) {
            connection.idleSince(mClock.millis());
            mIdle.addLast(connection);
        }

        @Override
        public void closed(EndpointConnection connection) {
            mOpen--;
            mIdle.remove(connection);
        }

        private void closeOld(long now) {
            for (EndpointConnection connection : List.copyOf(mIdle)) {
                if (!connection.isFresh(now, mSettings.idleTime().toMillis())) {
                    mIdle.remove(connection);
                    connection.cancel();
                }
            }
        }

        private void closeIdle() {
            List.copyOf(mIdle).forEach(EndpointConnection::cancel);
            mIdle.clear();
        }
    }
}
