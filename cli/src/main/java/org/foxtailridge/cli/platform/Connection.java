package org.foxtailridge.cli.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.clients.http.HttpClients;
import org.foxtailridge.clients.http.JsonAnswer;
import org.foxtailridge.clients.http.JsonExchange;
import org.foxtailridge.clients.log.HttpLogService;
import org.foxtailridge.clients.log.LogService;
import org.foxtailridge.clients.vm.HttpVmList;
import org.foxtailridge.clients.vm.VmList;

/** The HTTP client of one command. */
public final class Connection implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(Connection.class);
    private static final int THREADS = 8;
    private static final int CONNECTIONS_PER_ADDRESS = 8;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient mClient;
    private final Duration mTimeout;

    private Connection(HttpClient client, Duration timeout) {
        mClient = client;
        mTimeout = timeout;
    }

    /**
     * Returns a connection.
     *
     * @param timeout time after which a call is given up
     */
    public static Connection open(Duration timeout) {
        HttpClient client =
                HttpClients.start(
                        "command-line", THREADS, CONNECTIONS_PER_ADDRESS, CONNECT_TIMEOUT);
        return new Connection(client, timeout);
    }

    /** Returns the log service at an address. */
    public LogService log(String address) {
        return new HttpLogService(mClient, withoutSlash(address), mTimeout);
    }

    /** Returns the VM list at an address. */
    public VmList vmList(String address) {
        return new HttpVmList(mClient, withoutSlash(address), mTimeout);
    }

    /** Reads a resource of a node's operator port. */
    public CompletableFuture<JsonAnswer> get(String operatorAddress, String path) {
        return JsonExchange.to(mClient, withoutSlash(operatorAddress) + path)
                .within(mTimeout)
                .get();
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception failure) {
            LOGGER.warn("the HTTP client did not stop cleanly", failure);
        }
    }

    private static String withoutSlash(String address) {
        return address.endsWith("/") ? address.substring(0, address.length() - 1) : address;
    }
}
