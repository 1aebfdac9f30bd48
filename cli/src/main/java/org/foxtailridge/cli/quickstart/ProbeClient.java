package org.foxtailridge.cli.quickstart;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.foxtailridge.clients.http.HttpClients;
import org.foxtailridge.core.json.Json;

/** Asks a node for one token, to see whether it serves. */
final class ProbeClient implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ProbeClient.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int ANSWER_TIMEOUT_SECONDS = 5;
    private static final int THREADS = 8;

    private final HttpClient mClient = HttpClients.start("probe", THREADS, 2, CONNECT_TIMEOUT);

    /** Returns whether the node answers a completion of one token. */
    boolean completes(String callerAddress, String key, String model) {
        byte[] body = Json.writeBytes(new Probe(model, "ready?", 1, false));
        Request request =
                mClient.newRequest(callerAddress + "/v1/completions")
                        .method(HttpMethod.POST)
                        .timeout(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .headers(headers -> headers.put("Authorization", "Bearer " + key))
                        .body(new BytesRequestContent("application/json", body));
        return new CompletableResponseListener(request)
                .send()
                .handle((answer, failure) -> failure == null && answer.getStatus() == 200)
                .join();
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception failure) {
            LOGGER.warn("the HTTP client did not stop cleanly", failure);
        }
    }

    private record Probe(String model, String prompt, int maxTokens, boolean stream) {}
}
