package org.foxtailridge.forwarding.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decoder of the answers on a connection to an endpoint, which carries one exchange at a time.
 *
 * <p>It keeps no byte from one exchange to the next: the start of a late answer would otherwise be
 * joined with the next answer, which could take over its status. Bytes that arrive without an
 * exchange close the connection, and {@link #hasUndecodedBytes} tells of bytes behind an answer.
 */
final class EndpointAnswerDecoder extends HttpResponseDecoder {
    private static final Logger LOGGER = LogManager.getLogger(EndpointAnswerDecoder.class);

    private boolean mExpectsAnswer;
    private boolean mHeadOnly;
    private boolean mAnswerStarted;
    private long mBytesBeforeAnswer;

    EndpointAnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /**
     * Starts an exchange.
     *
     * @param headOnly whether the answer has no body whatever its head states
     */
    void expectAnswer(boolean headOnly) {
        mExpectsAnswer = true;
        mHeadOnly = headOnly;
        mAnswerStarted = false;
        mBytesBeforeAnswer = 0;
    }

    /** The head of the answer to the exchange's request has arrived. */
    void answerStarted() {
        mAnswerStarted = true;
    }

    /** Ends the exchange. */
    void expectNothing() {
        mExpectsAnswer = false;
    }

    /** Returns the number of bytes that arrived in the exchange before its own answer. */
    long bytesBeforeAnswer() {
        return mAnswerStarted ? 0 : mBytesBeforeAnswer;
    }

    /** Returns whether bytes have arrived that belong to no decoded message. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (mExpectsAnswer) {
            mBytesBeforeAnswer += ((ByteBuf) message).readableBytes();
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            LOGGER.debug("closed {}: bytes arrived without a request", context.channel());
            context.close();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadOnly || super.isContentAlwaysEmpty(message);
    }
}
