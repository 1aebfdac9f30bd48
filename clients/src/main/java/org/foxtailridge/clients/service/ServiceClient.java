package org.foxtailridge.clients.service;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.foxtailridge.clients.engine.AttemptIdentity;
import org.foxtailridge.clients.http.ExchangeFailedException;

/** Client of all plain services. Answers are held whole, up to a bound. */
public final class ServiceClient {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String ATTEMPT_ID = "X-Attempt-Id";
    private static final String NOT_STARTED = "X-Not-Started";
    private static final int UNAVAILABLE = 503;

    private final HttpClient mClient;
    private final int mMaximumAnswerBytes;

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param maximumAnswerBytes largest answer, in bytes
     */
    public ServiceClient(HttpClient client, int maximumAnswerBytes) {
        mClient = Objects.requireNonNull(client, "client");
        mMaximumAnswerBytes = maximumAnswerBytes;
    }

    /**
     * Calls a service once; nothing is repeated.
     *
     * @param address base address of the endpoint
     * @param identity identifiers of request and attempt
     * @param call what to send
     * @param timeout time after which the answer is given up
     * @return the answer; fails with {@link ExchangeFailedException}
     */
    public CompletableFuture<ServiceAnswer> call(
            String address, AttemptIdentity identity, ServiceCall call, Duration timeout) {
        AtomicBoolean begun = new AtomicBoolean();
        Request request = request(address, identity, call, timeout);
        request.onRequestBegin(sent -> begun.set(true));
        return new CompletableResponseListener(request, mMaximumAnswerBytes)
                .send()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw new ExchangeFailedException(address, begun.get(), failure);
                            }
                            return answer(response);
                        });
    }

    private Request request(
            String address, AttemptIdentity identity, ServiceCall call, Duration timeout) {
        String contentType = call.headers().getOrDefault(HttpHeader.CONTENT_TYPE.asString(), "");
        Request request =
                mClient.newRequest(address + call.target())
                        .method(call.method())
                        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                        .headers(headers -> call.headers().forEach(headers::put))
                        .headers(
                                headers ->
                                        headers.put(REQUEST_ID, identity.requestId())
                                                .put(ATTEMPT_ID, identity.attemptId()));
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(contentType, call.body()));
        }
        return request;
    }

    private static ServiceAnswer answer(ContentResponse response) {
        boolean notStarted =
                response.getStatus() == UNAVAILABLE
                        && Boolean.parseBoolean(response.getHeaders().get(NOT_STARTED));
        return new ServiceAnswer(
                response.getStatus(),
                response.getHeaders().get(HttpHeader.CONTENT_TYPE),
                response.getContent(),
                notStarted);
    }
}
