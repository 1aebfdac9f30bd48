package org.foxtailridge.endtoend.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.json.Json;

/** Calls nodes as callers and operators do. */
public final class CallerClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Asks for a whole completion. */
    public CompletableFuture<CallerAnswer> complete(
            NodeProcess node, String key, CompletionBody body) {
        return post(node.callers() + "/v1/completions", key, Json.write(body), Map.of());
    }

    /** Opens a stream; the future completes when the first token arrives. */
    public CompletableFuture<LiveStream> open(NodeProcess node, String key, CompletionBody body) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(node.callers() + "/v1/completions"))
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(Json.write(body)))
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenApply(LiveStream::new);
    }

    /** Posts a body with further headers; an empty key leaves the authorization out. */
    public CompletableFuture<CallerAnswer> post(
            String address, String key, String body, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(address))
                        .timeout(TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return send(request, key);
    }

    /** Gets a resource; an empty key leaves the authorization out. */
    public CompletableFuture<CallerAnswer> get(String address, String key) {
        return send(HttpRequest.newBuilder(URI.create(address)).timeout(TIMEOUT), key);
    }

    /** Reads the status of a node. */
    public JsonNode status(NodeProcess node) {
        return get(node.operators() + "/status", "").join().json();
    }

    private CompletableFuture<CallerAnswer> send(HttpRequest.Builder request, String key) {
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(CallerAnswer::of);
    }
}
