package org.foxtailridge.forwarding.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;

/**
 * Pool of keep-alive connections to endpoints, with a limit for each address. A request that finds
 * all connections in use fails at once; it is not queued here.
 *
 * <p>Confined to its event loop.
 *
 * <pre>{@code
 * EndpointConnections connections = new EndpointConnections(loop, settings, clock);
 * EndpointExchange exchange = connections.start(address, limit, true, request, listener);
 * exchange.cancel();
 * }</pre>
 */
public final class EndpointConnections {
    private static final Logger LOGGER = LogManager.getLogger(EndpointConnections.class);
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;
    // A process that ends closes its connections one after another, the listening one among them.
    private static final int PROCESS_EXIT_MILLISECONDS = 50;

    private final EventLoop mLoop;
    private final ConnectionSettings mSettings;
    private final Clock mClock;
    private final Bootstrap mBootstrap;
    private final Map<EndpointAddress, Pool> mPools = new HashMap<>();
    private long mOpened;

    /** Creates an empty pool on an event loop. */
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
     * @param address address of the endpoint
     * @param limit maximum number of open connections to the address
     * @param repeatable whether the request may be sent again after a broken connection; a request
     *     that may not is sent only on a new or recently used connection
     * @param request the request, of which the pool takes ownership
     * @param listener called on the event loop, after this method has returned
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
            exchange.start(idle);
        } else if (pool.mOpen - pool.mChecking >= limit && !pool.closeOldest()) {
            mLoop.execute(() -> exchange.failUnsent("all " + limit + " connections are in use"));
        } else {
            pool.connect(exchange);
        }
        return exchange;
    }

    /** Closes the idle connections to an address that is no longer announced. */
    public void closeIdle(EndpointAddress address) {
        Pool pool = mPools.get(address);
        if (pool != null) {
            pool.closeIdle();
            if (pool.mOpen == 0) {
                mPools.remove(address);
            }
        }
    }

    /** Closes connections whose idle timeout has passed; called several times a second. */
    public void tick() {
        long now = mClock.millis();
        mPools.values().forEach(pool -> pool.closeExpired(now));
        mPools.values().removeIf(pool -> pool.mOpen == 0);
    }

    /** Returns the number of connections that were opened since the start. */
    public long opened() {
        return mOpened;
    }

    private HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(mSettings.maximumHeadBytes())
                .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                .setHeadersFactory(new BoundedHeadersFactory())
                .setTrailersFactory(new BoundedHeadersFactory());
    }

    private static final class BoundedHeadersFactory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new BoundedHttpHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    private final class Pool implements EndpointConnection.Owner {
        private final EndpointAddress mAddress;
        private final Deque<EndpointConnection> mIdle = new ArrayDeque<>();
        private int mOpen;
        // Connections of checks, which don't count towards the limit until they are idle.
        private int mChecking;

        private Pool(EndpointAddress address) {
            mAddress = address;
        }

        /** Removes the most recently used connection, so that surplus ones reach their timeout. */
        private EndpointConnection takeIdle(boolean repeatable) {
            long now = mClock.millis();
            long maximumIdle =
                    (repeatable ? mSettings.idleTimeout() : mSettings.atMostOnceIdleTimeout())
                            .toMillis();
            EndpointConnection latest = mIdle.peekLast();
            boolean usable =
                    latest != null && latest.isOpen() && latest.isReusable(now, maximumIdle);
            return usable ? mIdle.pollLast() : null;
        }

        /** Closes the oldest idle connection, so that a new one stays within the limit. */
        private boolean closeOldest() {
            EndpointConnection oldest = mIdle.pollFirst();
            if (oldest == null) {
                return false;
            }
            oldest.cancel();
            return true;
        }

        private void connect(EndpointExchange exchange) {
            EndpointConnection connection = newConnection();
            open(connection)
                    .addListener(
                            (ChannelFuture connected) -> {
                                if (connected.isSuccess()) {
                                    exchange.start(connection);
                                } else {
                                    mOpen--;
                                    exchange.failUnsent(
                                            "no connection: " + connected.cause().getMessage());
                                }
                            });
        }

        private EndpointConnection newConnection() {
            return new EndpointConnection(this, mSettings.idleTimeout().toMillis());
        }

        private ChannelFuture open(EndpointConnection connection) {
            mOpen++;
            mOpened++;
            return mBootstrap
                    .clone()
                    .handler(
                            new ChannelInitializer<SocketChannel>() {
                                @Override
                                protected void initChannel(SocketChannel channel) {
                                    connection.addTo(channel.pipeline(), decoderConfig());
                                }
                            })
                    .connect(mAddress.toSocketAddress());
        }

        @Override
        public void checkAccepting(Consumer<Boolean> result) {
            EndpointConnection connection = newConnection();
            mChecking++;
            open(connection)
                    .addListener(
                            (ChannelFuture connected) -> {
                                if (connected.isSuccess()) {
                                    mLoop.schedule(
                                            () -> endCheck(connection, result),
                                            PROCESS_EXIT_MILLISECONDS,
                                            TimeUnit.MILLISECONDS);
                                } else {
                                    mOpen--;
                                    mChecking--;
                                    LOGGER.info(
                                            "endpoint {} accepts no connections: {}",
                                            mAddress,
                                            connected.cause().getMessage());
                                    result.accept(false);
                                }
                            });
        }

        private void endCheck(EndpointConnection connection, Consumer<Boolean> result) {
            mChecking--;
            boolean accepting = connection.isOpen();
            if (accepting) {
                becameIdle(connection);
            }
            result.accept(accepting);
        }

        @Override
        public void becameIdle(EndpointConnection connection) {
            connection.setIdleSince(mClock.millis());
            mIdle.addLast(connection);
        }

        @Override
        public void closed(EndpointConnection connection) {
            mOpen--;
            mIdle.remove(connection);
        }

        private void closeExpired(long now) {
            for (EndpointConnection connection : List.copyOf(mIdle)) {
                if (!connection.isReusable(now, mSettings.idleTimeout().toMillis())) {
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
