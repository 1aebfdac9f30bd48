package org.foxtailridge.node.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.ProtocolVersion;
import org.foxtailridge.protocol.envelope.Hello;
import org.foxtailridge.protocol.envelope.Proof;

/**
 * Exchanges hello and proof on a new connection; closes it when the other side does not prove that
 * it knows the cluster secret or speaks no version that both can read.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOGGER = LogManager.getLogger(HandshakeHandler.class);

    private final ClusterSecret mSecret;
    private final Hello mOwnHello;
    private final BiConsumer<ChannelHandlerContext, NodeName> mProven;
    private Hello mOtherHello;

    /**
     * Creates a handler for one connection.
     *
     * @param secret secret of the cluster
     * @param identity what this node says of itself
     * @param proven told once the other side has proved itself
     */
    HandshakeHandler(
            ClusterSecret secret,
            PeerIdentity identity,
            BiConsumer<ChannelHandlerContext, NodeName> proven) {
        mSecret = secret;
        mProven = proven;
        mOwnHello =
                Hello.newBuilder()
                        .setProtocolVersion(ProtocolVersion.CURRENT)
                        .setOldestReadableVersion(ProtocolVersion.OLDEST_READABLE)
                        .setNode(identity.name().value())
                        .setDataCentre(identity.dataCentre().value())
                        .setIncarnation(identity.incarnation())
                        .setChallenge(ClusterSecret.newChallenge())
                        .build();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.wrappedBuffer(mOwnHello.toByteArray()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
            throws InvalidProtocolBufferException {
        byte[] bytes = ByteBufUtil.getBytes(frame);
        if (mOtherHello == null) {
            onHello(context, Hello.parseFrom(bytes));
        } else {
            onProof(context, Proof.parseFrom(bytes));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.info("connection from {} closed: {}", context.channel(), cause.toString());
        context.close();
    }

    private void onHello(ChannelHandlerContext context, Hello hello) {
        if (!isReadable(hello) || !Names.isName(hello.getNode())) {
            LOGGER.warn(
                    "node {} speaks version {} (reads from {}), expected {} to {}",
                    hello.getNode(),
                    hello.getProtocolVersion(),
                    hello.getOldestReadableVersion(),
                    ProtocolVersion.OLDEST_READABLE,
                    ProtocolVersion.CURRENT);
            context.close();
            return;
        }
        mOtherHello = hello;
        ByteString signature = mSecret.sign(mOwnHello, hello);
        Proof proof = Proof.newBuilder().setSignature(signature).build();
        context.writeAndFlush(Unpooled.wrappedBuffer(proof.toByteArray()));
    }

    private static boolean isReadable(Hello hello) {
        return hello.getOldestReadableVersion() <= ProtocolVersion.CURRENT
                && hello.getProtocolVersion() >= ProtocolVersion.OLDEST_READABLE;
    }

    private void onProof(ChannelHandlerContext context, Proof proof) {
        if (!mSecret.verifies(proof.getSignature(), mOtherHello, mOwnHello)) {
            LOGGER.warn("connection from {} gave no valid proof", context.channel());
            context.close();
            return;
        }
        context.pipeline().remove(this);
        mProven.accept(context, NodeName.of(mOtherHello.getNode()));
    }
}
