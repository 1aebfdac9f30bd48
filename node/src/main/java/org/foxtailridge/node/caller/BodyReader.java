package org.foxtailridge.node.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads a request body up to a bound.
 *
 * <p>The rest of a body that is too large is read and dropped before the request fails: a
 * connection that is closed while its caller still sends is reset, and the caller never sees the
 * refusal.
 */
final class BodyReader {
    // Beyond this a caller is cut off; reading on would cost more than the answer is worth.
    private static final long MAXIMUM_DROPPED_BYTES = 64L * 1_024 * 1_024;

    private final Request mRequest;
    private final int mMaximumBytes;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> mBody = new CompletableFuture<>();
    private long mReceivedBytes;

    BodyReader(Request request, int maximumBytes) {
        mRequest = request;
        mMaximumBytes = maximumBytes;
    }

    /** Fails with {@link BodyTooLargeException} or with what broke the connection. */
    CompletableFuture<byte[]> read() {
        long declared = mRequest.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (declared > MAXIMUM_DROPPED_BYTES) {
            mBody.completeExceptionally(new BodyTooLargeException(mMaximumBytes, declared));
        } else {
            readChunks();
        }
        return mBody;
    }

    private void readChunks() {
        while (!mBody.isDone()) {
            Content.Chunk chunk = mRequest.read();
            if (chunk == null) {
                mRequest.demand(this::readChunks);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mBody.completeExceptionally(chunk.getFailure());
                return;
            }
            append(chunk);
        }
    }

    private void append(Content.Chunk chunk) {
        ByteBuffer buffer = chunk.getByteBuffer();
        mReceivedBytes += buffer.remaining();
        boolean fits = mReceivedBytes <= mMaximumBytes;
        if (fits) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            mBytes.write(bytes, 0, bytes.length);
        }
        boolean last = chunk.isLast();
        chunk.release();
        if (!fits && (last || mReceivedBytes > MAXIMUM_DROPPED_BYTES)) {
            mBody.completeExceptionally(new BodyTooLargeException(mMaximumBytes, mReceivedBytes));
        } else if (last) {
            mBody.complete(mBytes.toByteArray());
        }
    }
}
