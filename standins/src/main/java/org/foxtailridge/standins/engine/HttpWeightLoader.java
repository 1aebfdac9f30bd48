package org.foxtailridge.standins.engine;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.foxtailridge.standins.server.Json;
import org.foxtailridge.standins.server.ServerStartException;
import org.foxtailridge.standins.weights.LoadRequest;

/** Loads through the weight store's HTTP calls. */
final class HttpWeightLoader implements WeightLoader {
    private static final Logger LOGGER = LogManager.getLogger(HttpWeightLoader.class);
    private static final int IDLE_TIMEOUT_MILLISECONDS = 120_000;

    private final URI mLoads;
    private final HttpClient mClient = new HttpClient();

    HttpWeightLoader(URI store) {
        mLoads = store.resolve("/loads");
        mClient.setIdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
        try {
            mClient.start();
        } catch (Exception failure) {
            throw new ServerStartException(0, failure);
        }
    }

    @Override
    public CompletableFuture<Outcome> load(LoadRequest request) {
        org.eclipse.jetty.client.Request call =
                mClient.newRequest(mLoads)
                        .method(HttpMethod.POST)
                        .body(new BytesRequestContent("application/json", Json.write(request)));
        return new CompletableResponseListener(call)
                .send()
                .handle(
                        (answer, failure) -> {
                            boolean loaded = failure == null && answer.getStatus() == 200;
                            return loaded ? Outcome.LOADED : Outcome.RETRY;
                        });
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception failure) {
            LOGGER.warn("client of the weight store did not stop cleanly", failure);
        }
    }
}
