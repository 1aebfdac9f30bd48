package org.foxtailridge.node.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body up to a bound. */
final class BodyReader {
    private final Request mRequest;
    private final int mMaximumBytes;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> mBody = new CompletableFuture<>();

    BodyReader(Request request, int maximumBytes) {
        mRequest = request;
        mMaximumBytes = maximumBytes;
    }

    /** Fails with {@link BodyTooLargeException} or with what broke the connection. */
    CompletableFuture<byte[]> read() {
        long declared = mRequest.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (declared > mMaximumBytes) {
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
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        boolean last = chunk.isLast();
        chunk.release();
        mBytes.write(bytes, 0, bytes.length);
        if (mBytes.size() > mMaximumBytes) {
            mBody.completeExceptionally(new BodyTooLargeException(mMaximumBytes, mBytes.size()));
        } else if (last) {
            mBody.complete(mBytes.toByteArray());
        }
    }
}
