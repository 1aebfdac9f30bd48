package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A whole answer of an endpoint that has not been passed on.
 *
 * @param head its head
 * @param body its body; released by whoever passes it on or drops it
 */
record BufferedAnswer(HttpResponse head, ByteBuf body) {
    void release() {
        body.release();
    }
}
