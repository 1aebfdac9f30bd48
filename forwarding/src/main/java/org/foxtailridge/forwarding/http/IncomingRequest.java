package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** Request of a caller whose body is being aggregated. */
final class IncomingRequest {
    // Up to this number the buffers are not copied; Netty merges more of them into one.
    private static final int MAXIMUM_COMPONENTS = 128;

    private final HttpRequest mHead;
    private final long mArrivedMilliseconds;
    private final CompositeByteBuf mBody = Unpooled.compositeBuffer(MAXIMUM_COMPONENTS);

    IncomingRequest(HttpRequest head, long arrivedMilliseconds) {
        mHead = head;
        mArrivedMilliseconds = arrivedMilliseconds;
    }

    HttpRequest head() {
        return mHead;
    }

    long arrivedMilliseconds() {
        return mArrivedMilliseconds;
    }

    ByteBuf body() {
        return mBody;
    }

    /** Adds a buffer and takes ownership; returns false when the body would exceed the limit. */
    boolean add(ByteBuf content, int limit) {
        if (mBody.readableBytes() + content.readableBytes() > limit) {
            content.release();
            return false;
        }
        if (content.isReadable()) {
            mBody.addComponent(true, content);
        } else {
            content.release();
        }
        return true;
    }

    void release() {
        mBody.release();
    }
}
