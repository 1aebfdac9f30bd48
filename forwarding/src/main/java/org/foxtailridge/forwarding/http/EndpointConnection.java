package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.forwarding.request.AttemptFailure;

/**
 * One connection to an endpoint, which carries one exchange at a time.
 *
 * <p>An answer that belongs to no exchange closes the connection; one that belongs to an earlier
 * exchange is skipped, and the connection is not used again. A body without a length ends with the
 * connection, but only when the endpoint closes it in order.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LogManager.getLogger(EndpointConnection.class);
    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    // More than a request takes to reach an endpoint of the same region.
    private static final long IDLE_MARGIN_MILLISECONDS = 300;

    private final Owner mOwner;
    private final long mDefaultIdleMilliseconds;
    private Channel mChannel;
    private ExchangeListener mListener;
    private HttpResponse mHead;
    private ChannelFuture mWritten;
    private boolean mSkipping;
    private boolean mForeign;
    private boolean mReset;
    private long mIdleMilliseconds;
    private long mIdleSince;

    /**
     * Creates a connection.
     *
     * @param owner told when the connection is free again or closed
     * @param defaultIdleMilliseconds time for which it may lie idle when the endpoint names none
     */
    EndpointConnection(Owner owner, long defaultIdleMilliseconds) {
        mOwner = owner;
        mDefaultIdleMilliseconds = defaultIdleMilliseconds;
        mIdleMilliseconds = defaultIdleMilliseconds;
    }

    /** Sends a request on a connection that is open and carries no other. */
    void start(FullHttpRequest request, ExchangeListener listener) {
        mListener = listener;
        mHead = null;
        mSkipping = false;
        mWritten = mChannel.writeAndFlush(request);
    }

    /** Closes the connection; the listener is told nothing more. */
    void cancel() {
        mListener = null;
        mChannel.close();
    }

    /** Stops or resumes reading, while the caller can't take more. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    boolean isOpen() {
        return mChannel != null && mChannel.isActive();
    }

    void idleSince(long milliseconds) {
        mIdleSince = milliseconds;
    }

    /** Returns whether the endpoint surely has not closed it for lying idle. */
    boolean isFresh(long now, long mostMilliseconds) {
        return now - mIdleSince < Math.min(mIdleMilliseconds, mostMilliseconds);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOwner.closed(this);
        fail(mReset ? "the connection was reset" : "the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        LOGGER.debug("connection to {} failed: {}", context.channel(), cause.toString());
        context.close();
    }

    private void read(Object message) {
        if (mListener == null) {
            // Bytes that nobody asked for: whatever follows could be taken for another answer.
            mChannel.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mListener != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            fail("the answer has no readable head");
            mChannel.close();
            return;
        }
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean foreign = !interim && !mListener.matches(head);
        mForeign |= foreign;
        mSkipping = interim || foreign;
        if (!mSkipping) {
            mHead = head;
            mListener.head(head);
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the answer has no readable body");
            mChannel.close();
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            mListener.content(bytes);
        }
        if (last && mListener != null) {
            complete();
        }
    }

    private void complete() {
        boolean framed = HttpUtil.isTransferEncodingChunked(mHead) || hasLength() || hasNoBody();
        if (!framed && mReset) {
            fail("the connection was reset inside a body without a length");
            return;
        }
        ExchangeListener listener = mListener;
        mListener = null;
        boolean reusable =
                framed
                        && !mForeign
                        && HttpUtil.isKeepAlive(mHead)
                        && mWritten.isDone()
                        && mChannel.isActive();
        if (reusable) {
            mChannel.config().setAutoRead(true);
            mIdleMilliseconds = idleTime();
            mOwner.free(this);
        } else {
            mChannel.close();
        }
        listener.complete();
    }

    private boolean hasLength() {
        return mHead.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private boolean hasNoBody() {
        int status = mHead.status().code();
        return status == 204 || status == 304;
    }

    /** Returns the time for which the endpoint keeps the connection, less a margin. */
    private long idleTime() {
        String keepAlive = mHead.headers().get("Keep-Alive");
        Matcher matcher = keepAlive == null ? null : TIMEOUT.matcher(keepAlive);
        if (matcher == null || !matcher.find()) {
            return mDefaultIdleMilliseconds;
        }
        long seconds = Long.parseLong(matcher.group(1));
        return Math.max(0, seconds * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS);
    }

    private void fail(String reason) {
        ExchangeListener listener = mListener;
        mListener = null;
        if (listener != null) {
            listener.failed(AttemptFailure.BROKEN, reason);
        }
    }

    /** Keeps the connection while it carries no exchange. */
    interface Owner {
        /** The connection can carry another exchange. */
        void free(EndpointConnection connection);

        /** The connection is closed. */
        void closed(EndpointConnection connection);
    }
}
