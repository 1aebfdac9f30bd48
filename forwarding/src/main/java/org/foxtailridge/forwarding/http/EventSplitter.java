package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splitter of server-sent events: passes only complete events on and buffers the rest, so that an
 * event that its endpoint cut short never reaches the caller. The buffer has no bound of its own;
 * see {@link #partialBytes}.
 *
 * <pre>{@code
 * ByteBuf complete = splitter.feed(content);  // complete events, perhaps none; to be released
 * }</pre>
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private ByteBuf mPartial = Unpooled.EMPTY_BUFFER;

    /** Adds bytes and returns the events that are now complete, in a buffer to be released. */
    public ByteBuf feed(ByteBuf bytes) {
        if (mPartial == Unpooled.EMPTY_BUFFER) {
            mPartial = Unpooled.buffer(bytes.readableBytes());
        }
        int searched = mPartial.writerIndex();
        mPartial.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfCompleteEvents(mPartial, searched);
        if (end == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = mPartial;
        mPartial = rest(complete, end);
        complete.writerIndex(end);
        return complete;
    }

    /** Removes and returns the bytes after the last complete event, in a buffer to be released. */
    public ByteBuf takePartial() {
        ByteBuf partial = mPartial;
        mPartial = Unpooled.EMPTY_BUFFER;
        return partial;
    }

    /** Returns the number of buffered bytes after the last complete event. */
    public int partialBytes() {
        return mPartial.readableBytes();
    }

    /**
     * Returns whether the buffered bytes belong to an event. Any number of empty lines may follow
     * the last complete one.
     */
    public boolean hasPartialEvent() {
        return mPartial.forEachByte(EventSplitter::isLineEnd) >= 0;
    }

    /** Releases the buffered bytes. */
    public void release() {
        takePartial().release();
    }

    private static boolean isLineEnd(byte value) {
        return value == LINE_FEED || value == CARRIAGE_RETURN;
    }

    /** Copies what follows the complete events. */
    private static ByteBuf rest(ByteBuf bytes, int from) {
        int length = bytes.writerIndex() - from;
        return length == 0
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.buffer(length).writeBytes(bytes, from, length);
    }

    /** Searches only the bytes that were added last, as those before them end no event. */
    private static int endOfCompleteEvents(ByteBuf bytes, int searched) {
        int from = bytes.readerIndex();
        for (int index = bytes.writerIndex() - 1; index >= searched && index > from; index--) {
            if (bytes.getByte(index) == LINE_FEED && isLineEnd(bytes, from, index - 1)) {
                return index + 1;
            }
        }
        return 0;
    }

    /** Returns whether a line ends at an index, with or without a carriage return before it. */
    private static boolean isLineEnd(ByteBuf bytes, int from, int index) {
        byte last = bytes.getByte(index);
        boolean skipReturn = last == CARRIAGE_RETURN && index - 1 >= from;
        return (skipReturn ? bytes.getByte(index - 1) : last) == LINE_FEED;
    }
}
