package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.forwarding.request.AttemptFailure;

/**
 * Connection to an endpoint: the last handler of its channel's pipeline. It carries one exchange at
 * a time. Confined to the channel's event loop.
 *
 * <p>Bytes that arrive without an exchange, or behind an answer, close the connection. An answer to
 * an earlier exchange is skipped, and the connection is not reused. An answer that does not state
 * its request fails the exchange, and so do too many bytes or answers before its own. A body that
 * is not framed ends with the connection, and is complete only when the endpoint closes the
 * connection without a reset and still accepts others: the system closes the connections of a
 * process that was killed in the same way.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LogManager.getLogger(EndpointConnection.class);
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    // Subtracted from the timeout that the endpoint names; exceeds the time that a request takes to
    // reach an endpoint in the same region.
    private static final long IDLE_MARGIN_MILLISECONDS = 300;
    // An endpoint that exceeds either of these is not expected to send the answer any more.
    private static final int MAXIMUM_SKIPPED_ANSWERS = 16;
    private static final long MAXIMUM_BYTES_BEFORE_ANSWER = 4 * 1024 * 1024;

    private final Owner mOwner;
    private EndpointAnswerDecoder mDecoder;
    private final long mDefaultIdleTimeoutMilliseconds;
    private Channel mChannel;
    private ExchangeListener mListener;
    private HttpResponse mHead;
    private ChannelFuture mRequestWritten;
    private boolean mSkipping;
    private int mSkippedAnswers;
    // Set once an answer to an earlier exchange has arrived; the connection is not reused then.
    private boolean mUnmatchedAnswer;
    private boolean mReset;
    // Whether the end of an unframed body is being checked after the end of the connection.
    private boolean mCheckingEnd;
    private long mIdleTimeoutMilliseconds;
    private long mIdleSinceMilliseconds;

    /**
     * Creates a connection.
     *
     * @param owner notified when the connection becomes idle or closes
     * @param defaultIdleTimeoutMilliseconds idle timeout when the endpoint names none
     */
    EndpointConnection(Owner owner, long defaultIdleTimeoutMilliseconds) {
        mOwner = owner;
        mDefaultIdleTimeoutMilliseconds = defaultIdleTimeoutMilliseconds;
        mIdleTimeoutMilliseconds = defaultIdleTimeoutMilliseconds;
    }

    /** Adds the handlers of this connection to the pipeline of its channel. */
    void addTo(ChannelPipeline pipeline, HttpDecoderConfig config) {
        mDecoder = new EndpointAnswerDecoder(config);
        pipeline.addLast(new HttpRequestEncoder(), mDecoder, this);
    }

    /** Sends a request; the connection must be open and idle. */
    void start(FullHttpRequest request, ExchangeListener listener) {
        mListener = listener;
        mDecoder.expectAnswer(request.method().equals(HttpMethod.HEAD));
        mHead = null;
        mSkipping = false;
        mSkippedAnswers = 0;
        mRequestWritten = mChannel.writeAndFlush(request);
        mRequestWritten.addListener(written -> mReset |= isReset(written.cause()));
    }

    /** Closes the connection without any further call of the exchange's listener. */
    void cancel() {
        mListener = null;
        mChannel.close();
    }

    /** Pauses or resumes reading: back-pressure from a caller that reads slowly. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    boolean isOpen() {
        return mChannel != null && mChannel.isActive();
    }

    void setIdleSince(long milliseconds) {
        mIdleSinceMilliseconds = milliseconds;
    }

    /** Returns whether the idle time is below both the idle timeout and the given maximum. */
    boolean isReusable(long now, long maximumIdleMilliseconds) {
        return now - mIdleSinceMilliseconds
                < Math.min(mIdleTimeoutMilliseconds, maximumIdleMilliseconds);
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
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mListener != null && mDecoder.bytesBeforeAnswer() > MAXIMUM_BYTES_BEFORE_ANSWER) {
            failAndClose("no answer within " + MAXIMUM_BYTES_BEFORE_ANSWER + " bytes");
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOwner.closed(this);
        if (!mCheckingEnd) {
            fail(mReset ? "the connection was reset" : "the connection was closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        LOGGER.debug(
                "closed the connection {} to an endpoint after an I/O error: {}",
                context.channel(),
                cause.toString());
        context.close();
    }

    private void read(Object message) {
        if (mListener == null) {
            // Unexpected bytes: what follows could be taken for the answer to the next request.
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
        if (head.decoderResult().isFailure()
                || !AnswerHeads.isOfOneAnswer(head)
                || !AnswerHeads.hasReadableBody(head)) {
            failAndClose("the answer has no readable head");
            return;
        }
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        AnswerMatch match = interim ? AnswerMatch.OTHER_REQUEST : mListener.match(head);
        if (match == AnswerMatch.UNIDENTIFIED) {
            failAndClose("an answer with status " + head.status().code() + " names no request");
            return;
        }
        mSkipping = match == AnswerMatch.OTHER_REQUEST;
        mUnmatchedAnswer |= mSkipping && !interim;
        if (mSkipping) {
            mSkippedAnswers += interim ? 0 : 1;
            if (mSkippedAnswers > MAXIMUM_SKIPPED_ANSWERS) {
                failAndClose("more than " + MAXIMUM_SKIPPED_ANSWERS + " other answers arrived");
            }
        } else {
            mHead = head;
            mDecoder.answerStarted();
            mListener.head(head);
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failAndClose("the answer has no readable body");
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
        boolean framed = BodyFraming.of(mHead) != BodyFraming.CONNECTION;
        if (framed || mChannel.isActive()) {
            end(framed);
        } else if (mReset) {
            fail("the connection was reset inside a body without a length");
        } else {
            mCheckingEnd = true;
            mOwner.checkAccepting(this::endUnframed);
        }
    }

    /** Ends an exchange whose body ended with the connection. */
    private void endUnframed(boolean accepting) {
        if (!accepting) {
            fail("the endpoint was gone at the end of a body without a length");
        } else if (mListener != null) {
            end(false);
        }
    }

    private void end(boolean framed) {
        ExchangeListener listener = mListener;
        mListener = null;
        boolean reusable =
                framed
                        && !mUnmatchedAnswer
                        && !mDecoder.hasUndecodedBytes()
                        && HttpUtil.isKeepAlive(mHead)
                        && mRequestWritten.isDone()
                        && mChannel.isActive();
        if (reusable) {
            mDecoder.expectNothing();
            mChannel.config().setAutoRead(true);
            mIdleTimeoutMilliseconds = idleTimeoutMilliseconds();
            mOwner.becameIdle(this);
        } else {
            mChannel.close();
        }
        listener.complete();
    }

    /**
     * Returns whether a write failed because the endpoint reset the connection. The channel is then
     * closed without {@link #exceptionCaught}; after an orderly close it is a closed channel that
     * fails the write.
     */
    private static boolean isReset(Throwable writeFailure) {
        return writeFailure instanceof IOException
                && !(writeFailure instanceof ClosedChannelException);
    }

    /** Returns the idle timeout that the endpoint names, less a margin, or the default. */
    private long idleTimeoutMilliseconds() {
        String keepAlive = mHead.headers().get("Keep-Alive");
        Matcher matcher = keepAlive == null ? null : KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
        if (matcher == null || !matcher.find()) {
            return mDefaultIdleTimeoutMilliseconds;
        }
        long seconds = Long.parseLong(matcher.group(1));
        return Math.max(0, seconds * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS);
    }

    private void failAndClose(String reason) {
        fail(reason);
        mChannel.close();
    }

    private void fail(String reason) {
        ExchangeListener listener = mListener;
        mListener = null;
        if (listener != null) {
            listener.failed(AttemptFailure.BROKEN, reason);
        }
    }

    /** Pool that owns the connection. */
    interface Owner {
        /** The connection is idle and can carry another exchange. */
        void becameIdle(EndpointConnection connection);

        /** Tells whether the endpoint accepts connections, with a new one. */
        void checkAccepting(Consumer<Boolean> result);

        /** The connection closed and can't be used any more. */
        void closed(EndpointConnection connection);
    }
}
