package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/** Request of a caller whose body is being aggregated. */
final class IncomingRequest {
    // Number of buffers that are merged into one, so that many small ones take little memory.
    private static final int MERGED_COMPONENTS = 128;

    private final HttpRequest mHead;
    private final long mArrivedMilliseconds;
    // Without a limit of its own: beyond one, Netty copies the whole body for each buffer.
    private final CompositeByteBuf mBody = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private int mMerged;

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
            mergeNewest();
        } else {
            content.release();
        }
        return true;
    }

    void release() {
        mBody.release();
    }

    /** Merges the buffers added since the last merge, so that each byte is copied at most once. */
    private void mergeNewest() {
        if (mBody.numComponents() - mMerged == MERGED_COMPONENTS) {
            mBody.consolidate(mMerged, MERGED_COMPONENTS);
            mMerged++;
        }
    }
}
