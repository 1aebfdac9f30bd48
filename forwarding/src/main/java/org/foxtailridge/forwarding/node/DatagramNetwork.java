package org.foxtailridge.forwarding.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.http.ChannelFutures;
import org.foxtailridge.protocol.envelope.Datagram;
import org.foxtailridge.protocol.envelope.Subject;

/**
 * UDP messaging between nodes. Delivery is not guaranteed: a message may be lost, duplicated or
 * reordered, and must fit one datagram. Messages are dispatched to one receiver per subject.
 *
 * <p>The name of a node is the address at which it receives datagrams, so that no name lookup is
 * needed. All methods are called on the event loop, which also runs the receivers.
 *
 * <pre>{@code
 * DatagramNetwork network = new DatagramNetwork(loop, self, incarnation);
 * network.receive(Subject.LIMITS, LimitsMessage.parser(), (sender, message) -> ...);
 * network.bind(address)
 *         .thenRun(() -> network.send(NodeName.of("10.1.0.25:8229"), Subject.LIMITS, message));
 * }</pre>
 */
public final class DatagramNetwork {
    private static final Logger LOGGER = LogManager.getLogger(DatagramNetwork.class);

    private final EventLoop mLoop;
    private final NodeName mSelf;
    private final long mIncarnation;
    private final Map<Subject, BiConsumer<NodeName, ByteString>> mReceivers =
            new EnumMap<>(Subject.class);
    private final Map<NodeName, InetSocketAddress> mAddresses = new HashMap<>();
    private Channel mChannel;
    private long mSentBytes;

    /** Creates a network that can neither send nor receive until {@link #bind}. */
    public DatagramNetwork(EventLoop loop, NodeName self, long incarnation) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mSelf = Objects.requireNonNull(self, "self");
        mIncarnation = incarnation;
    }

    /** Sets the receiver of a subject's messages; messages that can't be parsed are dropped. */
    public <T extends MessageLite> void receive(
            Subject subject, Parser<T> parser, BiConsumer<NodeName, T> receiver) {
        mReceivers.put(
                subject,
                (sender, payload) -> {
                    try {
                        receiver.accept(sender, parser.parseFrom(payload));
                    } catch (InvalidProtocolBufferException unreadable) {
                        LOGGER.warn(
                                "dropped an undecodable message of {} with subject {}",
                                sender,
                                subject);
                    }
                });
    }

    /**
     * Binds the socket and starts to receive.
     *
     * @return completes once messages can be sent; fails when the address is not available
     */
    public CompletableFuture<Void> bind(InetSocketAddress address) {
        ChannelFuture bound =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiver())
                        .bind(address);
        mChannel = bound.channel();
        return ChannelFutures.toCompletable(bound);
    }

    /** Sends a message once, without acknowledgement or retry. */
    public void send(NodeName receiver, Subject subject, MessageLite payload) {
        byte[] bytes =
                Datagram.newBuilder()
                        .setSender(mSelf.value())
                        .setIncarnation(mIncarnation)
                        .setSubject(subject)
                        .setPayload(payload.toByteString())
                        .build()
                        .toByteArray();
        mSentBytes += bytes.length;
        InetSocketAddress address =
                mAddresses.computeIfAbsent(
                        receiver, name -> EndpointAddress.parse(name.value()).toSocketAddress());
        mChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
    }

    /** Returns the bytes sent since the start, without IP and UDP headers. */
    public long sentBytes() {
        return mSentBytes;
    }

    private void receive(byte[] bytes) throws InvalidProtocolBufferException {
        Datagram datagram = Datagram.parseFrom(bytes);
        BiConsumer<NodeName, ByteString> receiver = mReceivers.get(datagram.getSubject());
        if (receiver != null && Names.isName(datagram.getSender())) {
            receiver.accept(NodeName.of(datagram.getSender()), datagram.getPayload());
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                receive(ByteBufUtil.getBytes(packet.content()));
            } catch (InvalidProtocolBufferException unreadable) {
                LOGGER.warn("dropped an undecodable datagram of {}", packet.sender());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.warn("a datagram was dropped because its receiver failed", cause);
        }
    }
}
