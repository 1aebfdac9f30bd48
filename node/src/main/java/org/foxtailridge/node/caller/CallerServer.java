package org.foxtailridge.node.caller;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.foxtailridge.node.settings.NodeSettings;
import org.foxtailridge.node.settings.TlsFiles;

/** The HTTP server towards callers. */
@Singleton
public final class CallerServer {
    private final NodeSettings mSettings;
    private final Server mServer;
    private final ServerConnector mConnector;

    /** Creates a server that does not listen yet. */
    @Inject
    public CallerServer(NodeSettings settings, CallerHandler handler) {
        mSettings = settings;
        QueuedThreadPool threads = new QueuedThreadPool(settings.callerThreads());
        threads.setName("callers");
        mServer = new Server(threads);
        mConnector = connector();
        mConnector.setHost(settings.callerHost());
        mConnector.setPort(settings.callerPort());
        mConnector.setIdleTimeout(settings.callerIdleTimeout().toMillis());
        mServer.addConnector(mConnector);
        mServer.addBean(new NetworkConnectionLimit(settings.maximumConnections(), mConnector));
        mServer.setHandler(handler);
        mServer.setErrorHandler(new BadRequestHandler());
    }

    /** Starts listening. */
    public void start() {
        try {
            mServer.start();
        } catch (Exception failure) {
            throw new IllegalStateException(
                    "the caller server could not listen on port " + mSettings.callerPort(),
                    failure);
        }
    }

    /** Returns the address that callers use. */
    public String address() {
        String scheme = mSettings.callerTls().isPresent() ? "https" : "http";
        return scheme + "://" + mSettings.callerHost() + ":" + mConnector.getLocalPort();
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        try {
            mServer.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the caller server did not stop", failure);
        }
    }

    private ServerConnector connector() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(mSettings.maximumHeadBytes());
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        HttpConnectionFactory plain = new HttpConnectionFactory(http);
        return mSettings
                .callerTls()
                .map(files -> tlsConnector(files, plain))
                .orElseGet(() -> new ServerConnector(mServer, plain));
    }

    private ServerConnector tlsConnector(TlsFiles files, HttpConnectionFactory plain) {
        SslContextFactory.Server tls = new SslContextFactory.Server();
        TlsIdentity identity = new TlsIdentity(files);
        identity.applyTo(tls);
        mServer.addBean(new TlsReloader(identity, tls));
        return new ServerConnector(
                mServer, new SslConnectionFactory(tls, HttpVersion.HTTP_1_1.asString()), plain);
    }
}
