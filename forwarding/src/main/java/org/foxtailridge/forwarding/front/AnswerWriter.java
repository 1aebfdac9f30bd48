package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.EventSplitter;
import org.foxtailridge.forwarding.http.RequestDialect;

/**
 * Passes answers of endpoints on to one caller.
 *
 * <p>A stream is passed on event by event, its head with the first; one answer may go on with the
 * events of another endpoint. Any other answer is kept until it is whole, unless it is large.
 */
final class AnswerWriter {
    private static final String EVENT_STREAM = "text/event-stream";
    // Answers up to this size are kept whole, so that one that is cut short can be tried again.
    private static final int LARGEST_KEPT_BYTES = 256 * 1024;
    private static final int LARGEST_EVENT_BYTES = 1024 * 1024;

    private final CallerExchange mCaller;
    private final RequestDialect mDialect;
    private final boolean mStreams;
    private EventSplitter mSplitter = new EventSplitter();
    private ByteBuf mKept = Unpooled.EMPTY_BUFFER;
    private HttpResponse mHead;
    private AnswerOutcome mMeaning;
    private boolean mBegun;
    private boolean mByEvents;
    private String mLastEventId;

    AnswerWriter(CallerExchange caller, RequestDialect dialect, boolean streams) {
        mCaller = caller;
        mDialect = dialect;
        mStreams = streams;
    }

    /** Begins the answer of an endpoint; returns what its head says. */
    AnswerOutcome head(HttpResponse head) {
        reset();
        mHead = head;
        mMeaning = mDialect.outcomeOf(head);
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        mByEvents = mStreams && isSuccess() && type.startsWith(EVENT_STREAM);
        return mMeaning;
    }

    /** Takes bytes of the body; returns whether any were passed on. */
    boolean content(ByteBuf content) {
        if (mByEvents) {
            return passEvents(content);
        }
        if (mBegun && isSuccess()) {
            mCaller.write(content.retainedSlice());
            mCaller.flush();
            return true;
        }
        keep(content);
        if (!isSuccess() || mKept.readableBytes() <= LARGEST_KEPT_BYTES) {
            return false;
        }
        begin(lengthOf(mHead));
        mCaller.write(takeKept());
        mCaller.flush();
        return true;
    }

    /** Returns whether the endpoint sent more inside one event, or one failure, than is kept. */
    boolean isTooLarge() {
        return mSplitter.partialBytes() > LARGEST_EVENT_BYTES
                || mKept.readableBytes() > LARGEST_EVENT_BYTES;
    }

    AnswerOutcome meaning() {
        return mMeaning;
    }

    boolean isSuccess() {
        return mMeaning == AnswerOutcome.SUCCESS;
    }

    /** Returns whether any part has reached the caller. */
    boolean hasBegun() {
        return mBegun;
    }

    /** Completes the answer with what was not passed on yet. */
    void complete() {
        ByteBuf rest = mByEvents ? mSplitter.takePartial() : takeKept();
        if (!mBegun) {
            begin(mByEvents ? OptionalLong.empty() : OptionalLong.of(rest.readableBytes()));
        }
        mCaller.write(rest);
        mCaller.end();
    }

    /** Takes the answer out that is whole but not passed on. */
    BufferedAnswer takeAnswer() {
        return new BufferedAnswer(mHead, takeKept());
    }

    /** Passes on a whole answer. */
    void pass(BufferedAnswer answer) {
        mHead = answer.head();
        begin(OptionalLong.of(answer.body().readableBytes()));
        mCaller.write(answer.body());
        mCaller.end();
    }

    /** Returns the last event that the caller has; empty when it has none of this answer. */
    Optional<String> lastEventId() {
        return Optional.ofNullable(mLastEventId);
    }

    /** Drops what is kept of an attempt. */
    void reset() {
        mSplitter.release();
        mSplitter = new EventSplitter();
        takeKept().release();
        mMeaning = null;
        mByEvents = false;
    }

    private boolean passEvents(ByteBuf content) {
        ByteBuf whole = mSplitter.feed(content);
        if (!whole.isReadable()) {
            whole.release();
            return false;
        }
        if (!mBegun) {
            begin(OptionalLong.empty());
        }
        mSplitter.lastEventId().ifPresent(id -> mLastEventId = id);
        mCaller.write(whole);
        mCaller.flush();
        return true;
    }

    private void begin(OptionalLong length) {
        mBegun = true;
        mCaller.begin(
                mHead.status().code(),
                mHead.status().reasonPhrase(),
                mDialect.headersToCaller(mHead),
                length);
    }

    private void keep(ByteBuf content) {
        if (mKept == Unpooled.EMPTY_BUFFER) {
            mKept = Unpooled.buffer(content.readableBytes());
        }
        mKept.writeBytes(content, content.readerIndex(), content.readableBytes());
    }

    private ByteBuf takeKept() {
        ByteBuf kept = mKept;
        mKept = Unpooled.EMPTY_BUFFER;
        return kept;
    }

    private static OptionalLong lengthOf(HttpResponse head) {
        String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length));
    }
}
