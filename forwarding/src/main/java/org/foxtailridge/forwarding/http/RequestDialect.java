package org.foxtailridge.forwarding.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailridge.forwarding.request.RequestMetadata;

/** What the headers of callers and endpoints mean. */
public interface RequestDialect {
    /**
     * Reads the head of a caller's request.
     *
     * @throws MalformedHeadException if a header that is needed can't be read
     */
    RequestMetadata readRequest(HttpRequest head);

    /** Returns the headers to send to an endpoint, without those that frame the body. */
    HttpHeaders headersToEndpoint(HttpRequest head, AttemptParameters terms);

    /** Returns whether an answer is to the request of the given identifier. */
    boolean isAnswerTo(HttpResponse head, String requestId);

    /** Returns what an answer says. */
    AnswerOutcome outcomeOf(HttpResponse head);

    /** Returns the headers to send to the caller, without those that frame the body. */
    HttpHeaders headersToCaller(HttpResponse head);
}
