package org.foxtailridge.forwarding.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.ErrorAnswer;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;

/**
 * Connection of a caller: the last handler of its channel's pipeline. It aggregates one request at
 * a time and answers pipelined requests in their order. Confined to the channel's event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LogManager.getLogger(CallerConnection.class);
    // Bounds the memory that a caller can occupy by pipelining; reading stops at this number.
    private static final int MAXIMUM_PENDING_OBJECTS = 64;

    private final Channel mChannel;
    private final CallerHandler mHandler;
    private final Clock mClock;
    private final Consumer<CallerConnection> mOnClosed;
    private final Deque<HttpObject> mPending = new ArrayDeque<>();
    private IncomingRequest mIncoming;
    private ChannelExchange mExchange;
    private ChannelFuture mAnswerWritten;
    private long mLastByteMilliseconds;
    // Arrival of the first byte of a head that is not complete; 0 when there is none.
    private long mHeadStartMilliseconds;
    private boolean mClosing;
    private boolean mReading;

    CallerConnection(
            Channel channel,
            CallerHandler handler,
            Clock clock,
            Consumer<CallerConnection> onClosed) {
        mChannel = channel;
        mHandler = handler;
        mClock = clock;
        mOnClosed = onClosed;
        mAnswerWritten = channel.newSucceededFuture();
        mLastByteMilliseconds = clock.millis();
    }

    void bytesArrived(long now) {
        mLastByteMilliseconds = now;
        if (mHeadStartMilliseconds == 0 && mExchange == null && mIncoming == null) {
            mHeadStartMilliseconds = now;
        }
    }

    /** Returns whether a request is being read or answered, or an answer is not written yet. */
    boolean isBusy() {
        return hasRequest() || !mAnswerWritten.isDone();
    }

    private boolean hasRequest() {
        return mExchange != null || mIncoming != null || !mPending.isEmpty();
    }

    void closeIfIdleSince(long sinceMilliseconds) {
        boolean idle = mLastByteMilliseconds <= sinceMilliseconds;
        if (idle && !isBusy() && mHeadStartMilliseconds == 0) {
            mChannel.close();
        }
    }

    /** Closes the connection whatever its state; a request that is still arriving is refused. */
    void close() {
        if (mIncoming != null) {
            ErrorAnswer answer = ErrorTable.answerTo(ErrorKind.STOPPING);
            refuse(
                    HttpResponseStatus.valueOf(answer.status()),
                    ErrorKind.STOPPING,
                    "node stopped before the body was complete");
        }
        mClosing = true;
        mChannel.close();
    }

    /** Closes the connection when the head, the body or the next request has not come in time. */
    void checkTimeouts(long now) {
        if (mExchange != null || mClosing) {
            return;
        }
        long idle = now - mLastByteMilliseconds;
        long idleLimit = mHandler.limits().idleTimeout().toMillis();
        long headLimit = mHandler.limits().headTimeout().toMillis();
        boolean headTimedOut =
                mIncoming == null
                        && mHeadStartMilliseconds > 0
                        && now - mHeadStartMilliseconds >= headLimit;
        if (headTimedOut || (mIncoming != null && idle >= idleLimit)) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, ErrorKind.MALFORMED_REQUEST, "too slow");
        } else if (!hasRequest() && idle >= idleLimit) {
            mChannel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject object) || mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mExchange != null) {
            mPending.addLast(object);
            if (mPending.size() >= MAXIMUM_PENDING_OBJECTS) {
                mChannel.config().setAutoRead(false);
            }
            return;
        }
        mReading = true;
        process(object);
        mReading = false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOnClosed.accept(this);
        releaseIncoming();
        mPending.forEach(ReferenceCountUtil::release);
        mPending.clear();
        if (mExchange != null) {
            mExchange.disconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.writabilityChanged(mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("closed the connection of a caller after an I/O error: {}", cause.toString());
        context.close();
    }

    /**
     * Ends the exchange in flight, then reads the next request or closes the connection.
     *
     * @param written completes when the last byte of the answer is written
     */
    void exchangeEnded(ChannelFuture written, boolean keepOpen) {
        mExchange = null;
        mAnswerWritten = written;
        mHeadStartMilliseconds = 0;
        mLastByteMilliseconds = mClock.millis();
        if (!keepOpen) {
            mClosing = true;
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        while (mExchange == null && !mPending.isEmpty() && !mClosing) {
            process(mPending.pollFirst());
        }
        if (mPending.size() < MAXIMUM_PENDING_OBJECTS) {
            mChannel.config().setAutoRead(true);
        }
    }

    private void process(HttpObject object) {
        if (object instanceof HttpRequest head) {
            processHead(head);
        }
        if (object instanceof HttpContent content) {
            processContent(content);
        }
    }

    private void processHead(HttpRequest head) {
        mHeadStartMilliseconds = 0;
        if (head.decoderResult().isFailure()) {
            refuseMalformed(head.decoderResult().cause());
            return;
        }
        int limit = mHandler.limits().maximumBodyBytes();
        if (HttpUtil.getContentLength(head, 0L) > limit) {
            refuseTooLarge();
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        mIncoming = new IncomingRequest(head, mClock.millis());
    }

    private void processContent(HttpContent content) {
        if (mIncoming == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuseMalformed(content.decoderResult().cause());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        int limit = mHandler.limits().maximumBodyBytes();
        if (!mIncoming.add(content.content(), limit)) {
            refuseTooLarge();
            return;
        }
        if (last) {
            IncomingRequest request = mIncoming;
            mIncoming = null;
            ChannelExchange exchange = new ChannelExchange(this, mChannel, request, mHandler);
            mExchange = exchange;
            if (mReading) {
                // Runs after the end of the connection, if the caller has left meanwhile.
                mChannel.eventLoop().execute(() -> handle(exchange));
            } else {
                handle(exchange);
            }
        }
    }

    private void handle(ChannelExchange exchange) {
        if (mExchange == exchange && mChannel.isActive()) {
            mHandler.handle(exchange);
        }
    }

    private void refuseTooLarge() {
        refuse(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                ErrorKind.BODY_TOO_LARGE,
                "the body is larger than " + mHandler.limits().maximumBodyBytes() + " bytes");
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        ErrorKind kind = tooLong ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        refuse(HttpResponseStatus.valueOf(answer.status()), kind, cause.toString());
    }

    /** Answers a request that is not accepted with an error, and closes the connection. */
    private void refuse(HttpResponseStatus status, ErrorKind kind, String reason) {
        mHandler.refused(kind, reason);
        mClosing = true;
        releaseIncoming();
        byte[] body = ErrorBody.of(kind, reason);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(ErrorBody.headers(retryAfterMilliseconds(kind)))
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static OptionalLong retryAfterMilliseconds(ErrorKind kind) {
        OptionalInt seconds = ErrorTable.answerTo(kind).retryAfterSeconds();
        return seconds.isPresent()
                ? OptionalLong.of(TimeUnit.SECONDS.toMillis(seconds.getAsInt()))
                : OptionalLong.empty();
    }

    private void releaseIncoming() {
        if (mIncoming != null) {
            mIncoming.release();
            mIncoming = null;
        }
    }
}
