package org.foxtailridge.standins;

import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Calls stand-ins over HTTP in tests. */
public final class TestClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    public HttpResponse<String> get(URI base, String path) {
        return send("GET", base, path, "").join();
    }

    public HttpResponse<String> post(URI base, String path, String body) {
        return send("POST", base, path, body).join();
    }

    public CompletableFuture<HttpResponse<String>> send(
            String method, URI base, String path, String body, String... headers) {
        return mClient.sendAsync(
                request(method, base, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> complete(
            URI engine, String attempt, String body) {
        return send("POST", engine, "/v1/completions", body, ids(attempt));
    }

    public InputStream open(URI engine, String attempt, String body) {
        HttpRequest request = request("POST", engine, "/v1/completions", body, ids(attempt));
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofInputStream()).join().body();
    }

    private static String[] ids(String attempt) {
        return new String[] {"X-Request-Id", "request-" + attempt, "X-Attempt-Id", attempt};
    }

    private static HttpRequest request(
            String method, URI base, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(base.resolve(path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }
}
