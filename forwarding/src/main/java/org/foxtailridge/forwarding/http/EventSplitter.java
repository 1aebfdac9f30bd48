package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream behind whole events, so that an event that was cut short by its
 * endpoint never reaches the caller.
 *
 * <pre>{@code
 * ByteBuf whole = splitter.feed(content);  // whole events, perhaps none; to be released
 * splitter.lastEventId();
 * }</pre>
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private ByteBuf mPartial = Unpooled.EMPTY_BUFFER;
    private String mLastEventId;

    /** Takes bytes in and returns the whole events that they complete; the caller releases them. */
    public ByteBuf feed(ByteBuf bytes) {
        ByteBuf all = Unpooled.buffer(mPartial.readableBytes() + bytes.readableBytes());
        all.writeBytes(mPartial).writeBytes(bytes);
        mPartial.release();
        int end = endOfWholeEvents(all);
        ByteBuf whole = all.readRetainedSlice(end);
        mPartial = all.isReadable() ? all.copy() : Unpooled.EMPTY_BUFFER;
        all.release();
        noteLastId(whole);
        return whole;
    }

    /** Returns what has come behind the last whole event; the caller releases it. */
    public ByteBuf takePartial() {
        ByteBuf partial = mPartial;
        mPartial = Unpooled.EMPTY_BUFFER;
        return partial;
    }

    /** Returns the bytes that have come behind the last whole event. */
    public int partialBytes() {
        return mPartial.readableBytes();
    }

    /** Returns the identifier of the last whole event that had one. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(mLastEventId);
    }

    /** Drops what is kept. */
    public void release() {
        takePartial().release();
    }

    private static int endOfWholeEvents(ByteBuf bytes) {
        int from = bytes.readerIndex();
        for (int index = bytes.writerIndex() - 1; index > from; index--) {
            if (bytes.getByte(index) == LINE_FEED && isLineEnd(bytes, from, index - 1)) {
                return index + 1 - from;
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

    private void noteLastId(ByteBuf whole) {
        int index = whole.readerIndex();
        while (index < whole.writerIndex()) {
            int end = whole.indexOf(index, whole.writerIndex(), LINE_FEED);
            int lineEnd = end < 0 ? whole.writerIndex() : end;
            if (startsWithId(whole, index, lineEnd)) {
                int start = index + ID_FIELD.length;
                String id = whole.toString(start, lineEnd - start, StandardCharsets.UTF_8).strip();
                mLastEventId = id;
            }
            index = lineEnd + 1;
        }
    }

    private static boolean startsWithId(ByteBuf bytes, int from, int end) {
        if (end - from < ID_FIELD.length) {
            return false;
        }
        for (int offset = 0; offset < ID_FIELD.length; offset++) {
            if (bytes.getByte(from + offset) != ID_FIELD[offset]) {
                return false;
            }
        }
        return true;
    }
}
