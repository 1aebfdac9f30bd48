package org.foxtailridge.clients.log;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.foxtailridge.clients.http.ExchangeFailedException;
import org.foxtailridge.clients.http.JsonAnswer;
import org.foxtailridge.clients.http.JsonExchange;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The log service over HTTP. */
public final class HttpLogService implements LogService {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient mClient;
    private final String mAddress;
    private final Duration mTimeout;

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param address base address, without a slash at its end
     * @param timeout time after which an append, or a read beyond its wait, is given up
     */
    public HttpLogService(HttpClient client, String address, Duration timeout) {
        mClient = Objects.requireNonNull(client, "client");
        mAddress = Objects.requireNonNull(address, "address");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<String> payloads) {
        return JsonExchange.to(mClient, recordsOf(stream))
                .within(mTimeout)
                .post(new Append(payloads))
                .handle((answer, failure) -> firstOffset(stream, answer, failure));
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        String query = "?from=" + from + "&limit=" + limit + "&wait_ms=" + wait.toMillis();
        return JsonExchange.to(mClient, recordsOf(stream) + query)
                .within(mTimeout.plus(wait))
                .get()
                .handle((answer, failure) -> page(stream, answer, failure));
    }

    private String recordsOf(String stream) {
        return mAddress + "/streams/" + stream + "/records";
    }

    private static long firstOffset(String stream, JsonAnswer answer, Throwable failure) {
        if (failure != null) {
            throw appendFailure(stream, failure);
        }
        if (answer.status() == TOO_MANY_REQUESTS || answer.status() == UNAVAILABLE) {
            throw new AppendRefusedException(stream, "status " + answer.status());
        }
        if (!answer.isSuccess()) {
            throw new AppendUnresolvedException(
                    stream, new IllegalStateException("status " + answer.status()));
        }
        return answer.as(Appended.class).firstOffset();
    }

    private static FoxtailridgeException appendFailure(String stream, Throwable failure) {
        FoxtailridgeException cause = FoxtailridgeException.from(failure);
        if (cause instanceof ExchangeFailedException exchange && !exchange.mayHaveArrived()) {
            return new AppendRefusedException(stream, "no connection");
        }
        return new AppendUnresolvedException(stream, cause);
    }

    private static LogPage page(String stream, JsonAnswer answer, Throwable failure) {
        if (failure != null) {
            throw new LogUnavailableException(
                    stream, FoxtailridgeException.from(failure).getMessage());
        }
        if (!answer.isSuccess()) {
            throw new LogUnavailableException(stream, "status " + answer.status());
        }
        return answer.as(LogPage.class);
    }

    private record Append(List<String> payloads) {}

    private record Appended(long firstOffset, int count) {}
}
