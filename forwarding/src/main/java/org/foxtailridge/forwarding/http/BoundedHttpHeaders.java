package org.foxtailridge.forwarding.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Headers of an answer, without validation, up to a number of them. Each header occupies more
 * memory than its bytes on the wire, so that a limit of these alone does not bound it.
 */
final class BoundedHttpHeaders extends DefaultHttpHeaders {
    private static final int MAXIMUM_HEADERS = 128;

    BoundedHttpHeaders() {
        super(name -> {}, value -> {});
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        requireRoom();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        requireRoom();
        return super.add(name, value);
    }

    private void requireRoom() {
        if (size() >= MAXIMUM_HEADERS) {
            throw new TooLongHttpHeaderException(
                    "head must have at most " + MAXIMUM_HEADERS + " headers");
        }
    }
}
