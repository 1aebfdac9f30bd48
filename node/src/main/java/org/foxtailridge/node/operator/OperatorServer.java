package org.foxtailridge.node.operator;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.foxtailridge.node.settings.NodeSettings;

/** The HTTP server towards operators. */
@Singleton
public final class OperatorServer {
    private static final int THREADS = 8;

    private final NodeSettings mSettings;
    private final Server mServer;
    private final ServerConnector mConnector;

    /** Creates a server that does not listen yet. */
    @Inject
    public OperatorServer(NodeSettings settings, OperatorHandler handler) {
        mSettings = settings;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("operators");
        mServer = new Server(threads);
        mConnector = new ServerConnector(mServer, 1, 1);
        mConnector.setHost(settings.operatorHost());
        mConnector.setPort(settings.operatorPort());
        mServer.addConnector(mConnector);
        mServer.setHandler(handler);
    }

    /** Starts listening. */
    public void start() {
        try {
            mServer.start();
        } catch (Exception failure) {
            throw new IllegalStateException(
                    "the operator server could not listen on port " + mSettings.operatorPort(),
                    failure);
        }
    }

    /** Returns the address that operators use. */
    public String address() {
        return "http://" + mSettings.operatorHost() + ":" + mConnector.getLocalPort();
    }

    /** Stops listening. */
    public void stop() {
        try {
            mServer.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the operator server did not stop", failure);
        }
    }
}
