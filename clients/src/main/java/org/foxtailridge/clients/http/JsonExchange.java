package org.foxtailridge.clients.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.foxtailridge.core.json.Json;

/**
 * One HTTP exchange with JSON bodies.
 *
 * <pre>{@code
 * JsonExchange.to(client, address + "/vms").within(timeout).get()
 *         .thenApply(answer -> answer.as(VmPage.class));
 * }</pre>
 */
public final class JsonExchange {
    private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final String JSON_TYPE = "application/json";

    private final Request mRequest;
    private final AtomicBoolean mBegun = new AtomicBoolean();

    private JsonExchange(Request request) {
        mRequest = request;
        mRequest.onRequestBegin(begun -> mBegun.set(true));
    }

    /** Returns an exchange with the resource at the address. */
    public static JsonExchange to(HttpClient client, String address) {
        return new JsonExchange(client.newRequest(address));
    }

    /** Sets the time after which the exchange fails. */
    public JsonExchange within(Duration timeout) {
        mRequest.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        return this;
    }

    /** Sends a GET. Fails with {@link ExchangeFailedException} when no answer comes. */
    public CompletableFuture<JsonAnswer> get() {
        return send(HttpMethod.GET);
    }

    /** Sends a DELETE. Fails with {@link ExchangeFailedException} when no answer comes. */
    public CompletableFuture<JsonAnswer> delete() {
        return send(HttpMethod.DELETE);
    }

    /** Sends a POST. Fails with {@link ExchangeFailedException} when no answer comes. */
    public CompletableFuture<JsonAnswer> post(Object body) {
        mRequest.body(new BytesRequestContent(JSON_TYPE, Json.writeBytes(body)));
        return send(HttpMethod.POST);
    }

    /** Sends a PUT. Fails with {@link ExchangeFailedException} when no answer comes. */
    public CompletableFuture<JsonAnswer> put(Object body) {
        mRequest.body(new BytesRequestContent(JSON_TYPE, Json.writeBytes(body)));
        return send(HttpMethod.PUT);
    }

    private CompletableFuture<JsonAnswer> send(HttpMethod method) {
        mRequest.method(method);
        return new CompletableResponseListener(mRequest, MAXIMUM_ANSWER_BYTES)
                .send()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw new ExchangeFailedException(
                                        mRequest.getURI().toString(), mBegun.get(), failure);
                            }
                            return new JsonAnswer(response.getStatus(), response.getContent());
                        });
    }
}
