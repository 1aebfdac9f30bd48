package org.foxtailridge.node.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.envelope.Envelope;

/** Hands envelopes of a proven connection to the listener. */
final class EnvelopeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOGGER = LogManager.getLogger(EnvelopeHandler.class);

    private final NodeName mSender;
    private final PeerListener mListener;
    private final Predicate<NodeName> mCut;

    /**
     * Creates a handler for one connection.
     *
     * @param sender the node at the other side
     * @param listener told of each message
     * @param cut whether messages of a node are dropped
     */
    EnvelopeHandler(NodeName sender, PeerListener listener, Predicate<NodeName> cut) {
        mSender = sender;
        mListener = listener;
        mCut = cut;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
        Envelope envelope = Envelope.parseFrom(ByteBufUtil.getBytes(frame));
        if (!mCut.test(mSender)) {
            mListener.onMessage(mSender, envelope.getSubject(), envelope.getPayload());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.info("connection of {} closed: {}", mSender, cause.toString());
        context.close();
    }
}
