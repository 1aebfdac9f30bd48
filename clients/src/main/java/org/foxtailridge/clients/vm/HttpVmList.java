package org.foxtailridge.clients.vm;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.clients.http.JsonAnswer;
import org.foxtailridge.clients.http.JsonExchange;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The list of VMs over HTTP. */
public final class HttpVmList implements VmList {
    private final HttpClient mClient;
    private final String mAddress;
    private final Duration mTimeout;

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param address base address, without a slash at its end
     * @param timeout time after which a read is given up
     */
    public HttpVmList(HttpClient client, String address, Duration timeout) {
        mClient = Objects.requireNonNull(client, "client");
        mAddress = Objects.requireNonNull(address, "address");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
    }

    @Override
    public CompletableFuture<VmPage> read() {
        return JsonExchange.to(mClient, mAddress + "/vms")
                .within(mTimeout)
                .get()
                .handle(HttpVmList::page);
    }

    private static VmPage page(JsonAnswer answer, Throwable failure) {
        if (failure != null) {
            throw new VmListUnavailableException(FoxtailridgeException.from(failure).getMessage());
        }
        if (!answer.isSuccess()) {
            throw new VmListUnavailableException("status " + answer.status());
        }
        return answer.as(VmPage.class);
    }
}
