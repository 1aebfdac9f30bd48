package org.foxtailridge.forwarding.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.error.ErrorAnswer;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.ErrorTable;

/** One connection of a caller; answers one request after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LogManager.getLogger(CallerConnection.class);
    // Bounds what a caller that pipelines can make this process keep.
    private static final int MOST_KEPT_OBJECTS = 64;

    private final Channel mChannel;
    private final CallerHandler mHandler;
    private final Clock mClock;
    private final Consumer<CallerConnection> mClosed;
    private final Deque<HttpObject> mKept = new ArrayDeque<>();
    private IncomingRequest mIncoming;
    private ChannelExchange mExchange;
    private long mLastByteMilliseconds;
    private long mHeadSinceMilliseconds;
    private boolean mRefused;

    CallerConnection(
            Channel channel,
            CallerHandler handler,
            Clock clock,
            Consumer<CallerConnection> closed) {
        mChannel = channel;
        mHandler = handler;
        mClock = clock;
        mClosed = closed;
        mLastByteMilliseconds = clock.millis();
    }

    void bytesArrived(long now) {
        mLastByteMilliseconds = now;
        if (mHeadSinceMilliseconds == 0 && mExchange == null && mIncoming == null) {
            mHeadSinceMilliseconds = now;
        }
    }

    boolean isBusy() {
        return mExchange != null || mIncoming != null || !mKept.isEmpty();
    }

    void closeIfIdleSince(long milliseconds) {
        boolean idle = mLastByteMilliseconds <= milliseconds;
        if (idle && !isBusy() && mHeadSinceMilliseconds == 0) {
            mChannel.close();
        }
    }

    /** Closes the connection when its caller has taken too long. */
    void checkTimes(long now) {
        if (mExchange != null || mRefused) {
            return;
        }
        long idle = now - mLastByteMilliseconds;
        long idleLimit = mHandler.limits().idleTimeout().toMillis();
        long headLimit = mHandler.limits().headTimeout().toMillis();
        boolean lateHead =
                mIncoming == null
                        && mHeadSinceMilliseconds > 0
                        && now - mHeadSinceMilliseconds >= headLimit;
        if (lateHead || (mIncoming != null && idle >= idleLimit)) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, ErrorKind.MALFORMED_REQUEST, "too slow");
        } else if (!isBusy() && idle >= idleLimit) {
            mChannel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject object) || mRefused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mExchange != null) {
            mKept.addLast(object);
            if (mKept.size() >= MOST_KEPT_OBJECTS) {
                mChannel.config().setAutoRead(false);
            }
            return;
        }
        take(object);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed.accept(this);
        releaseIncoming();
        mKept.forEach(ReferenceCountUtil::release);
        mKept.clear();
        if (mExchange != null) {
            mExchange.left();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.writable(mChannel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("connection of a caller failed: {}", cause.toString());
        context.close();
    }

    /** The answer under way is complete. */
    void exchangeEnded(boolean keepOpen) {
        mExchange = null;
        mHeadSinceMilliseconds = 0;
        mLastByteMilliseconds = mClock.millis();
        if (!keepOpen) {
            mRefused = true;
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        while (mExchange == null && !mKept.isEmpty() && !mRefused) {
            take(mKept.pollFirst());
        }
        if (mKept.size() < MOST_KEPT_OBJECTS) {
            mChannel.config().setAutoRead(true);
        }
    }

    private void take(HttpObject object) {
        if (object instanceof HttpRequest head) {
            takeHead(head);
        }
        if (object instanceof HttpContent content) {
            takeContent(content);
        }
    }

    private void takeHead(HttpRequest head) {
        mHeadSinceMilliseconds = 0;
        if (head.decoderResult().isFailure()) {
            refuseUnreadable(head.decoderResult().cause());
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

    private void takeContent(HttpContent content) {
        if (mIncoming == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuseUnreadable(content.decoderResult().cause());
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
            mExchange = new ChannelExchange(this, mChannel, request, mHandler);
            mHandler.handle(mExchange);
        }
    }

    private void refuseTooLarge() {
        refuse(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                ErrorKind.BODY_TOO_LARGE,
                "the body is larger than " + mHandler.limits().maximumBodyBytes() + " bytes");
    }

    private void refuseUnreadable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        ErrorKind kind = tooLong ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
        ErrorAnswer answer = ErrorTable.answerTo(kind);
        refuse(HttpResponseStatus.valueOf(answer.status()), kind, cause.toString());
    }

    /** Answers a request that can't be taken, and closes the connection. */
    private void refuse(HttpResponseStatus status, ErrorKind kind, String reason) {
        mHandler.refused(kind, reason);
        mRefused = true;
        releaseIncoming();
        byte[] body = ErrorBody.of(kind, reason);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseIncoming() {
        if (mIncoming != null) {
            mIncoming.release();
            mIncoming = null;
        }
    }
}
