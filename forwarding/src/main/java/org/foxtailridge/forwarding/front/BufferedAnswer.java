package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A complete answer of an endpoint that has not been forwarded to the caller.
 *
 * @param head status line and headers
 * @param body body; this record owns it until it is forwarded or released
 */
record BufferedAnswer(HttpResponse head, ByteBuf body) {
    void release() {
        body.release();
    }
}
