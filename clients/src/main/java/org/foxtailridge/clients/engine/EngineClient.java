package org.foxtailridge.clients.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.foxtailridge.clients.http.JsonAnswer;
import org.foxtailridge.clients.http.JsonExchange;
import org.foxtailridge.core.json.Json;

/**
 * Client of all model engines.
 *
 * <pre>{@code
 * engines.complete(address, new AttemptIdentity(requestId, attemptId), call, listener);
 * }</pre>
 */
public final class EngineClient {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String ATTEMPT_ID = "X-Attempt-Id";
    private static final String LAST_EVENT_ID = "Last-Event-ID";

    private final HttpClient mClient;
    private final Duration mControlTimeout;
    private final Duration mStreamIdleTimeout;

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param controlTimeout time after which reports, orders and cancellations are given up
     * @param streamIdleTimeout time without a byte after which a stream is broken off
     */
    public EngineClient(HttpClient client, Duration controlTimeout, Duration streamIdleTimeout) {
        mClient = Objects.requireNonNull(client, "client");
        mControlTimeout = Objects.requireNonNull(controlTimeout, "controlTimeout");
        mStreamIdleTimeout = Objects.requireNonNull(streamIdleTimeout, "streamIdleTimeout");
    }

    /** Starts a completion whose tokens go to the listener; the first token is demanded already. */
    public CompletionStream complete(
            String address,
            AttemptIdentity identity,
            CompletionCall call,
            CompletionListener listener) {
        Request request =
                streamRequest(address + "/v1/completions", identity)
                        .method(HttpMethod.POST)
                        .body(new BytesRequestContent("application/json", Json.writeBytes(call)));
        return started(request, listener);
    }

    /** Continues a stream after the token with the given index; -1 asks for all tokens. */
    public CompletionStream resume(
            String address, AttemptIdentity identity, int lastIndex, CompletionListener listener) {
        String path = "/v1/attempts/" + identity.attemptId() + "/stream";
        Request request =
                streamRequest(address + path, identity)
                        .method(HttpMethod.GET)
                        .headers(
                                headers -> headers.put(LAST_EVENT_ID, Integer.toString(lastIndex)));
        return started(request, listener);
    }

    /** Cancels an attempt, also one that has not arrived yet. */
    public CompletableFuture<JsonAnswer> cancel(String address, String attemptId) {
        return exchange(address + "/v1/attempts/" + attemptId).delete();
    }

    /** Reads the load report. */
    public CompletableFuture<LoadReport> status(String address) {
        return exchange(address + "/status").get().thenApply(answer -> answer.as(LoadReport.class));
    }

    /** Reads cache events from a sequence number on. */
    public CompletableFuture<CacheEventPage> cacheEvents(String address, long from, int limit) {
        return exchange(address + "/cache-events?from=" + from + "&limit=" + limit)
                .get()
                .thenApply(answer -> answer.as(CacheEventPage.class));
    }

    /** Sends an order. A failure leaves open whether the order took effect. */
    public CompletableFuture<OrderAnswer> order(String address, EngineOrder order) {
        return exchange(address + "/orders").post(order).thenApply(EngineClient::orderAnswer);
    }

    /** Asks for the state of an order. */
    public CompletableFuture<OrderAnswer> orderState(String address, String orderId) {
        return exchange(address + "/orders/" + orderId).get().thenApply(EngineClient::orderAnswer);
    }

    private static OrderAnswer orderAnswer(JsonAnswer answer) {
        OrderAnswer body = answer.as(OrderAnswer.class);
        return new OrderAnswer(
                answer.status(), body.orderId(), body.state(), body.reason(), body.highest());
    }

    private JsonExchange exchange(String address) {
        return JsonExchange.to(mClient, address).within(mControlTimeout);
    }

    private Request streamRequest(String address, AttemptIdentity identity) {
        return mClient.newRequest(address)
                .idleTimeout(mStreamIdleTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .headers(
                        headers ->
                                headers.put(REQUEST_ID, identity.requestId())
                                        .put(ATTEMPT_ID, identity.attemptId()));
    }

    private static CompletionStream started(Request request, CompletionListener listener) {
        HttpCompletionStream stream = new HttpCompletionStream(request, listener);
        stream.send();
        return stream;
    }
}
