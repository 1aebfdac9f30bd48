package org.foxtailridge.forwarding.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.http.AnswerOutcome;
import org.foxtailridge.forwarding.http.BodyFraming;
import org.foxtailridge.forwarding.http.CallerExchange;
import org.foxtailridge.forwarding.http.EventSequence;
import org.foxtailridge.forwarding.http.EventSplitter;
import org.foxtailridge.forwarding.http.RequestDialect;

/**
 * Writes the answer to one request to its caller, from the answers of one or more endpoints.
 *
 * <p>A stream is forwarded event by event, its head together with the first event; after a retry it
 * continues with the events of another endpoint. Any other answer is buffered until it is complete;
 * only a successful one that exceeds the limit of the buffer is forwarded as it arrives. Confined
 * to one thread.
 */
final class AnswerWriter {
    private static final String EVENT_STREAM = "text/event-stream";
    // Successful answers up to this size are buffered until complete, so that a truncated one can
    // be retried.
    private static final int MAXIMUM_BUFFERED_ANSWER_BYTES = 256 * 1024;
    // Bounds one event of a stream, and one answer that is not successful.
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    private final CallerExchange mCaller;
    private final RequestDialect mDialect;
    private final boolean mStreams;
    private final EventSequence mSequence;
    private EventSplitter mSplitter = new EventSplitter();
    private ByteBuf mBuffered = Unpooled.EMPTY_BUFFER;
    private HttpResponse mHead;
    private AnswerOutcome mOutcome;
    private boolean mStarted;
    // Whether what was forwarded so far are events, which only further events may follow.
    private boolean mStartedWithEvents;
    private boolean mForwardsEvents;
    private boolean mHasEventOfAttempt;
    private Optional<String> mResumedAfter = Optional.empty();

    /**
     * Creates a writer.
     *
     * @param streams whether the answer is a stream of events
     * @param sequence order of the events of the stream
     */
    AnswerWriter(
            CallerExchange caller,
            RequestDialect dialect,
            boolean streams,
            EventSequence sequence) {
        mCaller = caller;
        mDialect = dialect;
        mStreams = streams;
        mSequence = sequence;
    }

    /** Handles the head of an endpoint's answer, dropping any earlier one; returns its outcome. */
    AnswerOutcome head(HttpResponse head) {
        reset();
        mHead = head;
        mOutcome = mDialect.outcomeOf(head);
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        mForwardsEvents = mStreams && isSuccess() && type.startsWith(EVENT_STREAM);
        mResumedAfter = mSequence.lastEventId();
        mSequence.startAttempt();
        return mOutcome;
    }

    /**
     * Handles a part of the body; returns whether any bytes were forwarded to the caller. Events
     * from the first on that is out of order are dropped.
     */
    boolean content(ByteBuf content) {
        if (mForwardsEvents) {
            return forwardEvents(content);
        }
        if (mStarted && isSuccess()) {
            mCaller.write(content.retainedSlice());
            mCaller.flush();
            return true;
        }
        appendToBuffer(content);
        if (!isSuccess() || mBuffered.readableBytes() <= MAXIMUM_BUFFERED_ANSWER_BYTES) {
            return false;
        }
        forwardBuffered();
        return true;
    }

    /** Returns the number of bytes that wait for the rest of the answer, or of an event. */
    int bufferedBytes() {
        return mSplitter.partialBytes() + mBuffered.readableBytes();
    }

    /** Returns whether the buffered part can be forwarded before the answer is complete. */
    boolean canForwardBuffered() {
        return isSuccess() && !mForwardsEvents && mBuffered.isReadable();
    }

    /** Forwards the buffered part; the rest of the answer is forwarded as it arrives. */
    void forwardBuffered() {
        startAnswer(lengthOf(mHead));
        mCaller.write(takeBuffered());
        mCaller.flush();
    }

    /** Returns whether one event, or one error answer, exceeds the size limit. */
    boolean isTooLarge() {
        return mSplitter.partialBytes() > MAXIMUM_EVENT_BYTES
                || mBuffered.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Returns whether the current attempt sent an event that does not follow the ones before. */
    boolean isOutOfOrder() {
        return mSequence.violation().isPresent();
    }

    /** Returns whether another endpoint can continue the answer after what was forwarded. */
    boolean isContinuable() {
        return mStartedWithEvents && mSequence.isContinuable();
    }

    /**
     * Returns whether the current attempt would end the answer to the caller, but can't: a part of
     * an earlier attempt was forwarded, and only the events of another one may follow events.
     */
    boolean contradictsStart() {
        boolean ends = isSuccess() || mOutcome == AnswerOutcome.REJECTION;
        return mStarted && ends && !(mStartedWithEvents && mForwardsEvents);
    }

    AnswerOutcome outcome() {
        return mOutcome;
    }

    boolean isSuccess() {
        return mOutcome == AnswerOutcome.SUCCESS;
    }

    /**
     * Returns whether a stream that ended was in fact broken off: inside an event, or, if the end
     * of the connection is the only sign of its end, before the first event or without the type of
     * a stream of events.
     */
    boolean isBrokenOff() {
        boolean framed = BodyFraming.of(mHead) != BodyFraming.CONNECTION;
        if (mForwardsEvents) {
            return mSplitter.hasPartialEvent() || (!framed && !mHasEventOfAttempt);
        }
        return mStreams && isSuccess() && !framed;
    }

    /** Returns the part of the stream that the current endpoint sent; empty without events. */
    Optional<StreamAttempt> streamAttempt() {
        return mHasEventOfAttempt
                ? Optional.of(
                        new StreamAttempt(
                                BodyFraming.of(mHead),
                                mResumedAfter,
                                mSequence.lastEventId(),
                                mSequence.violation()))
                : Optional.empty();
    }

    /** Returns whether any part was forwarded to the caller. */
    boolean hasStarted() {
        return mStarted;
    }

    /** Forwards what is left of the endpoint's answer and ends the answer to the caller. */
    void complete() {
        ByteBuf rest = mForwardsEvents ? Unpooled.EMPTY_BUFFER : takeBuffered();
        if (!mStarted) {
            startAnswer(
                    mForwardsEvents ? OptionalLong.empty() : OptionalLong.of(rest.readableBytes()));
        }
        mCaller.write(rest);
        mCaller.end();
    }

    /** Hands over the buffered complete answer; the caller of this method owns it. */
    BufferedAnswer takeBufferedAnswer() {
        return new BufferedAnswer(mHead, takeBuffered());
    }

    /** Writes a complete answer and takes ownership of its body. */
    void writeBuffered(BufferedAnswer answer) {
        mHead = answer.head();
        startAnswer(OptionalLong.of(answer.body().readableBytes()));
        mCaller.write(answer.body());
        mCaller.end();
    }

    /** Returns the identifier of the last event that the caller has; empty if there is none. */
    Optional<String> lastEventId() {
        return mSequence.lastEventId();
    }

    /** Releases the buffered bytes of the current attempt. */
    void reset() {
        mSplitter.release();
        mSplitter = new EventSplitter();
        takeBuffered().release();
        mOutcome = null;
        mForwardsEvents = false;
        mHasEventOfAttempt = false;
    }

    private boolean forwardEvents(ByteBuf content) {
        ByteBuf events = mSplitter.feed(content);
        events.writerIndex(events.readerIndex() + mSequence.accept(events));
        if (!events.isReadable()) {
            events.release();
            return false;
        }
        mHasEventOfAttempt = true;
        if (!mStarted) {
            startAnswer(OptionalLong.empty());
        }
        mCaller.write(events);
        mCaller.flush();
        return true;
    }

    private void startAnswer(OptionalLong length) {
        mStarted = true;
        mStartedWithEvents = mForwardsEvents;
        mCaller.begin(
                mHead.status().code(),
                mHead.status().reasonPhrase(),
                mDialect.headersToCaller(mHead),
                length);
    }

    private void appendToBuffer(ByteBuf content) {
        if (mBuffered == Unpooled.EMPTY_BUFFER) {
            mBuffered = Unpooled.buffer(content.readableBytes());
        }
        mBuffered.writeBytes(content, content.readerIndex(), content.readableBytes());
    }

    private ByteBuf takeBuffered() {
        ByteBuf buffered = mBuffered;
        mBuffered = Unpooled.EMPTY_BUFFER;
        return buffered;
    }

    private static OptionalLong lengthOf(HttpResponse head) {
        String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length));
    }
}
