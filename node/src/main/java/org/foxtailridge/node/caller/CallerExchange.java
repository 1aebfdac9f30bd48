package org.foxtailridge.node.caller;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.foxtailridge.core.error.ErrorAnswer;
import org.foxtailridge.core.error.FoxtailridgeException;

/** One request of a caller and the answer to it; the answer is completed exactly once. */
final class CallerExchange {
    static final String REQUEST_ID = "X-Request-Id";
    private static final String JSON_TYPE = "application/json";

    private final String mRequestId;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final int mMaximumBodyBytes;
    private final RequestLog mLog;
    private final AtomicBoolean mCompleted = new AtomicBoolean();
    private volatile String mSort = "other";
    private volatile String mClientAccount = "";
    private volatile String mEndpoint = "";

    CallerExchange(
            String requestId,
            Request request,
            Response response,
            Callback callback,
            int maximumBodyBytes,
            RequestLog log) {
        mRequestId = Objects.requireNonNull(requestId, "requestId");
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mMaximumBodyBytes = maximumBodyBytes;
        mLog = log;
        mResponse.getHeaders().put(REQUEST_ID, requestId);
    }

    String requestId() {
        return mRequestId;
    }

    String method() {
        return mRequest.getMethod();
    }

    String path() {
        return Request.getPathInContext(mRequest);
    }

    /** Returns the query with its question mark, or an empty text. */
    String query() {
        String query = mRequest.getHttpURI().getQuery();
        return query == null ? "" : "?" + query;
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeaders().get(name));
    }

    /** Reads the body; fails with {@link BodyTooLargeException}. */
    CompletableFuture<byte[]> body() {
        return new BodyReader(mRequest, mMaximumBodyBytes).read();
    }

    /** Says what the request is, for log and metrics. */
    void describe(String sort, String clientAccount) {
        mSort = sort;
        mClientAccount = clientAccount;
    }

    /** Says which endpoint the request was sent to, for log and metrics. */
    void sentTo(String endpoint) {
        mEndpoint = endpoint;
    }

    /** Answers with a JSON body. */
    void answer(int status, byte[] body) {
        answer(status, JSON_TYPE, body);
    }

    /** Answers with a body of the given type; a null type leaves the header out. */
    void answer(int status, String contentType, byte[] body) {
        if (mCompleted.compareAndSet(false, true)) {
            mLog.answered(mSort, mClientAccount);
            write(status, contentType, body);
        }
    }

    private void write(int status, String contentType, byte[] body) {
        mResponse.setStatus(status);
        if (contentType != null) {
            mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        }
        mResponse.write(true, ByteBuffer.wrap(body), mCallback);
    }

    /** Answers with an error of the table. */
    void fail(FoxtailridgeException failure) {
        if (!mCompleted.compareAndSet(false, true)) {
            return;
        }
        logFailure(failure);
        ErrorAnswer answer = failure.answer();
        answer.retryAfterSeconds()
                .ifPresent(
                        seconds ->
                                mResponse
                                        .getHeaders()
                                        .put(HttpHeader.RETRY_AFTER, Integer.toString(seconds)));
        write(answer.status(), JSON_TYPE, ErrorBody.of(failure));
    }

    /** Begins a streamed answer. */
    void beginStream(String contentType) {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        mResponse.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    }

    /** Writes a part of a streamed answer. */
    void write(byte[] part, Callback written) {
        mResponse.write(false, ByteBuffer.wrap(part), written);
    }

    /** Ends a streamed answer that is whole with its last part. */
    void endStream(byte[] lastPart) {
        if (mCompleted.compareAndSet(false, true)) {
            mLog.answered(mSort, mClientAccount);
            mResponse.write(true, ByteBuffer.wrap(lastPart), mCallback);
        }
    }

    /** Ends a streamed answer that is not whole with an event that says so. */
    void failStream(FoxtailridgeException failure, byte[] lastPart) {
        if (mCompleted.compareAndSet(false, true)) {
            logFailure(failure);
            mResponse.write(true, ByteBuffer.wrap(lastPart), mCallback);
        }
    }

    /** Closes the connection without an answer, as the caller can't be reached. */
    void abandon(Throwable cause) {
        if (mCompleted.compareAndSet(false, true)) {
            mCallback.failed(cause);
        }
    }

    private void logFailure(FoxtailridgeException failure) {
        mLog.failed(mSort, mRequestId, mClientAccount, mEndpoint, failure);
    }
}
