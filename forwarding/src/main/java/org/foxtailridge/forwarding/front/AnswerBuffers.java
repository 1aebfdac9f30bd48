package org.foxtailridge.forwarding.front;

import java.util.HashMap;
import java.util.Map;

/**
 * Bound on the answers that a node buffers until the rest of an answer or of an event arrives, over
 * all requests. When it is exceeded, the holder of the largest buffer releases it: sound endpoints
 * send the rest soon, so that their buffers stay small beside those of a faulty one.
 *
 * <p>Confined to one thread.
 *
 * <pre>{@code
 * AnswerBuffers buffers = AnswerBuffers.forHeap(Runtime.getRuntime().maxMemory());
 * buffers.resized(request, bytes);  // may call request.releaseBuffer()
 * buffers.resized(request, 0);
 * }</pre>
 */
final class AnswerBuffers {
    // Buffers grow by doubling, so that these bytes occupy up to a quarter of the heap.
    private static final int SHARE_OF_HEAP = 8;

    private final long mMaximumBytes;
    private final Map<Holder, Long> mBytes = new HashMap<>();
    private long mTotalBytes;

    private AnswerBuffers(long maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    /** Returns a bound for a process with the given maximum size of its heap. */
    static AnswerBuffers forHeap(long heapBytes) {
        return new AnswerBuffers(heapBytes / SHARE_OF_HEAP);
    }

    /**
     * Records the size of a holder's buffer.
     *
     * @param holder the holder, which may be told to release its buffer before this method returns
     * @param bytes current size; 0 if it holds nothing
     */
    void resized(Holder holder, long bytes) {
        Long before = bytes == 0 ? mBytes.remove(holder) : mBytes.put(holder, bytes);
        mTotalBytes += bytes - (before == null ? 0 : before);
        while (mTotalBytes > mMaximumBytes) {
            releaseLargest();
        }
    }

    /** Returns the number of bytes that all holders have buffered. */
    long totalBytes() {
        return mTotalBytes;
    }

    private void releaseLargest() {
        Holder largest = null;
        long largestBytes = 0;
        for (Map.Entry<Holder, Long> entry : mBytes.entrySet()) {
            if (entry.getValue() > largestBytes) {
                largest = entry.getKey();
                largestBytes = entry.getValue();
            }
        }
        mBytes.remove(largest);
        mTotalBytes -= largestBytes;
        largest.releaseBuffer();
    }

    /** Holder of a buffer. */
    interface Holder {
        /** Releases the buffer; it no longer counts when this method is called. */
        void releaseBuffer();
    }
}
