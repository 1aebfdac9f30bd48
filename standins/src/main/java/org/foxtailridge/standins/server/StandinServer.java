package org.foxtailridge.standins.server;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.standins.time.EventLoop;

/** The HTTP server of one stand-in on the loopback address. */
public final class StandinServer implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(StandinServer.class);
    private static final String HOST = "127.0.0.1";
    private static final String FAULTS_PATH = "/faults";
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;
    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 4;
    private static final int ACCEPT_QUEUE_CONNECTIONS = 1024;
    private static final int IDLE_TIMEOUT_MILLISECONDS = 120_000;

    private final EventLoop mLoop;
    private final ExchangeHandler mHandler;
    private final Server mServer;
    private final int mPort;
    private volatile ServerConnector mConnector;
    private volatile Instant mHeldUntil = Instant.MIN;
    private volatile boolean mClosed;

    private StandinServer(String name, int port, EventLoop loop, ExchangeHandler handler) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mHandler = Objects.requireNonNull(handler, "handler");
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        mServer = new Server(threads);
        mConnector = newConnector(port);
        mServer.addConnector(mConnector);
        mServer.setHandler(new ExchangeAdapter());
        startServer();
        mPort = mConnector.getLocalPort();
    }

    /**
     * Starts a server.
     *
     * @param name name of its threads
     * @param port port on the loopback address; 0 picks a free one
     * @param loop loop that measures delays
     * @param handler answers each exchange
     */
    public static StandinServer start(
            String name, int port, EventLoop loop, ExchangeHandler handler) {
        return new StandinServer(name, port, loop, handler);
    }

    /** Returns the base address, for example {@code http://127.0.0.1:8000}. */
    public URI address() {
        return URI.create("http://" + HOST + ":" + mPort);
    }

    /** Closes all open connections. */
    public void cutAll() {
        List.copyOf(mConnector.getConnectedEndPoints()).forEach(EndPoint::close);
    }

    /** Closes all connections and refuses new ones for a time. */
    public void refuseFor(Duration duration) {
        mLoop.execute(
                () -> {
                    stopListening();
                    mLoop.after(duration, this::startListening);
                });
    }

    /** Leaves every request but those to set fault switches without an answer for a time. */
    private void holdFor(Duration duration) {
        mHeldUntil = mLoop.clock().instant().plus(duration);
    }

    /**
     * Refuses or holds what comes, as fault switches say.
     *
     * @param refuseMilliseconds time for which connections are refused; 0 for none
     * @param holdMilliseconds time for which requests get no answer; 0 for none
     */
    public void disturb(long refuseMilliseconds, long holdMilliseconds) {
        if (holdMilliseconds > 0) {
            holdFor(Duration.ofMillis(holdMilliseconds));
        }
        if (refuseMilliseconds > 0) {
            refuseFor(Duration.ofMillis(refuseMilliseconds));
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        try {
            mServer.stop();
        } catch (Exception failure) {
            LOGGER.warn("server of a stand-in did not stop cleanly", failure);
        }
    }

    private void startServer() {
        try {
            mServer.start();
        } catch (Exception failure) {
            throw new ServerStartException(mConnector.getPort(), failure);
        }
    }

    private ServerConnector newConnector(int port) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector =
                new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(HOST);
        connector.setPort(port);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
        return connector;
    }

    private synchronized void stopListening() {
        ServerConnector connector = mConnector;
        connector.setAccepting(false);
        connector.close();
        cutAll();
        mServer.getThreadPool().execute(() -> stop(connector));
    }

    private synchronized void startListening() {
        if (mClosed || mConnector.isOpen()) {
            return;
        }
        mConnector = newConnector(mPort);
        mServer.addConnector(mConnector);
        try {
            mConnector.start();
        } catch (Exception failure) {
            throw new ServerStartException(mPort, failure);
        }
    }

    private void stop(ServerConnector connector) {
        try {
            connector.stop();
            mServer.removeConnector(connector);
        } catch (Exception failure) {
            LOGGER.warn("connector of a stand-in did not stop cleanly", failure);
        }
    }

    private void answer(Exchange exchange) {
        Duration held = Duration.between(mLoop.clock().instant(), mHeldUntil);
        boolean isHeld = !held.isNegative() && !held.isZero();
        if (isHeld && !exchange.path().equals(FAULTS_PATH)) {
            mLoop.after(held, () -> answer(exchange));
            return;
        }
        try {
            mHandler.handle(exchange);
        } catch (FoxtailridgeException failure) {
            exchange.answer(failure.answer().status(), Refusal.notStarted(failure.getMessage()));
        } catch (RuntimeException failure) {
            LOGGER.error("exchange of a stand-in failed", failure);
            exchange.answer(500, Refusal.notStarted("internal"));
        }
    }

    private final class ExchangeAdapter extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            long length = request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
            if (length > MAXIMUM_BODY_BYTES) {
                Response.writeError(request, response, callback, 413);
                return true;
            }
            Content.Source.asByteArrayAsync(request, MAXIMUM_BODY_BYTES)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure != null) {
                                    Response.writeError(request, response, callback, 400);
                                    return;
                                }
                                answer(new Exchange(request, response, callback, body));
                            });
            return true;
        }
    }
}
