package org.foxtailridge.forwarding.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.http.AnswerMatch;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.AttemptParameters;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.forwarding.request.RequestMetadata;

/** Dialect in which an answer with the header {@code Id: other} is to another request. */
final class TestDialect implements RequestDialect {
    @Override
    public RequestMetadata readRequest(HttpRequest head) {
        return new RequestMetadata(
                "request",
                "host",
                head.uri(),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                OptionalInt.empty(),
                OptionalInt.empty(),
                OptionalInt.empty(),
                List.of(),
                Optional.empty());
    }

    @Override
    public HttpHeaders headersToEndpoint(HttpRequest head, AttemptParameters parameters) {
        return new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "host");
    }

    @Override
    public AnswerMatch match(HttpResponse head, String requestId) {
        boolean other = head.headers().contains("Id", "other", false);
        return other ? AnswerMatch.OTHER_REQUEST : AnswerMatch.OWN;
    }

    @Override
    public AnswerOutcome outcomeOf(HttpResponse head) {
        return switch (head.status().code()) {
            case 200 -> AnswerOutcome.SUCCESS;
            case 404 -> AnswerOutcome.REJECTION;
            case 500 -> AnswerOutcome.FAILURE;
            default -> AnswerOutcome.FULL;
        };
    }

    @Override
    public HttpHeaders headersToCaller(HttpResponse head) {
        return new DefaultHttpHeaders()
                .set(
                        HttpHeaderNames.CONTENT_TYPE,
                        head.headers().get(HttpHeaderNames.CONTENT_TYPE, "text/plain"));
    }
}
