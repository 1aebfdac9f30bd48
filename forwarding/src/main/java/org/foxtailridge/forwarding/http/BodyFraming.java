package org.foxtailridge.forwarding.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of an answer's body is recognised. */
public enum BodyFraming {
    /** The head states the length, or by its status that there is no body. */
    LENGTH,
    /** The body consists of chunks and ends with an empty one. */
    CHUNKS,
    /** The body ends with the connection, so that a truncated one may look complete. */
    CONNECTION;

    /** Returns the framing that a head states. */
    public static BodyFraming of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKS;
        }
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || hasNoBody(head)
                ? LENGTH
                : CONNECTION;
    }

    private static boolean hasNoBody(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
