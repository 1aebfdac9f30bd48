package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** A request whose body is coming in. */
final class IncomingRequest {
    private static final int MOST_COMPONENTS = 128;

    private final HttpRequest mHead;
    private final long mArrivedMilliseconds;
    private final CompositeByteBuf mBody = Unpooled.compositeBuffer(MOST_COMPONENTS);

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

    /** Adds bytes, taking them over; returns false when the body would be larger than allowed. */
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
