package org.foxtailridge.clients.http;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates HTTP clients that neither redirect, decode nor add headers of their own. */
public final class HttpClients {
    private static final int REQUEST_BUFFER_BYTES = 16 * 1024;

    private HttpClients() {}

    /**
     * Returns a started client.
     *
     * @param name prefix of thread names
     * @param threads largest number of threads
     * @param connectionsPerAddress largest number of connections to one address
     * @param connectTimeout time after which connecting is given up
     */
    public static HttpClient start(
            String name, int threads, int connectionsPerAddress, Duration connectTimeout) {
        HttpClient client = new HttpClient();
        QueuedThreadPool pool = new QueuedThreadPool(threads);
        pool.setName(name);
        pool.setDaemon(true);
        client.setExecutor(pool);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setRequestBufferSize(REQUEST_BUFFER_BYTES);
        client.setConnectTimeout(connectTimeout.toMillis());
        client.setMaxConnectionsPerDestination(connectionsPerAddress);
        client.setMaxRequestsQueuedPerDestination(connectionsPerAddress);
        startOrThrow(client);
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }

    private static void startOrThrow(HttpClient client) {
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("the HTTP client did not start", failure);
        }
    }
}
