package org.foxtailridge.forwarding.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.RequestMetadata;

/** Reads and writes the HTTP headers of callers and endpoints as the platform defines them. */
public interface RequestDialect {
    /**
     * Parses the head of a caller's request.
     *
     * @throws MalformedHeadException if a required header is missing or malformed
     */
    RequestMetadata readRequest(HttpRequest head);

    /** Returns the headers to send to an endpoint, without those that frame the body. */
    HttpHeaders headersToEndpoint(HttpRequest head, AttemptParameters parameters);

    /**
     * Returns whether an answer is to a request.
     *
     * @param requestId identifier that the caller gave the request; empty if it gave none
     */
    AnswerMatch match(HttpResponse head, String requestId);

    /** Returns the outcome that the head of an endpoint's answer states. */
    AnswerOutcome outcomeOf(HttpResponse head);

    /** Returns the headers to pass to the caller, without those that frame the body. */
    HttpHeaders headersToCaller(HttpResponse head);
}
