package org.foxtailridge.forwarding.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.http.AnswerMatch;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.AttemptParameters;
import org.foxtailridge.forwarding.http.RequestDialect;
import org.foxtailridge.forwarding.request.RequestMetadata;

/** Dialect for tests in which the status alone decides the outcome of an answer. */
final class StatusDialect implements RequestDialect {
    @Override
    public RequestMetadata readRequest(HttpRequest head) {
        throw new AssertionError("expected no request");
    }

    @Override
    public HttpHeaders headersToEndpoint(HttpRequest head, AttemptParameters parameters) {
        throw new AssertionError("expected no request");
    }

    @Override
    public AnswerMatch match(HttpResponse head, String requestId) {
        return AnswerMatch.OWN;
    }

    @Override
    public AnswerOutcome outcomeOf(HttpResponse head) {
        return switch (head.status().code()) {
            case 200, 204 -> AnswerOutcome.SUCCESS;
            case 404 -> AnswerOutcome.REJECTION;
            case 500 -> AnswerOutcome.FAILURE;
            default -> AnswerOutcome.FULL;
        };
    }

    @Override
    public HttpHeaders headersToCaller(HttpResponse head) {
        return head.headers();
    }
}
