package org.foxtailridge.node.peer;

import com.google.protobuf.MessageLite;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.envelope.Envelope;
import org.foxtailridge.protocol.envelope.Subject;

/**
 * Connections to the other nodes. Messages may be lost, never altered; a node that can't be
 * reached, or reads too slowly, loses messages instead of filling memory.
 *
 * <pre>{@code
 * PeerNetwork network = PeerNetwork.listen(identity, secret, address, listener);
 * network.updateAddresses(addresses);
 * boolean handedOver = network.send(receiver, Subject.LIMITS, message);
 * }</pre>
 */
public final class PeerNetwork implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int FRAME_OVERHEAD_BYTES = 16;
    private static final long STOP_SECONDS = 2;

    private final PeerIdentity mIdentity;
    private final ClusterSecret mSecret;
    private final PeerListener mListener;
    private final EventLoopGroup mEventLoops;
    private final Map<NodeName, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mSentMessages = new LongAdder();
    private volatile Predicate<NodeName> mCut = node -> false;
    private Channel mServer;

    private PeerNetwork(PeerIdentity identity, ClusterSecret secret, PeerListener listener) {
        mIdentity = Objects.requireNonNull(identity, "identity");
        mSecret = secret;
        mListener = Objects.requireNonNull(listener, "listener");
        mEventLoops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    }

    /**
     * Starts listening.
     *
     * @param identity what this node says of itself
     * @param secret secret that all nodes share; at least 16 characters
     * @param address address to listen on; port 0 picks a free one
     * @param listener told of messages, on network threads
     */
    public static PeerNetwork listen(
            PeerIdentity identity,
            String secret,
            InetSocketAddress address,
            PeerListener listener) {
        PeerNetwork network = new PeerNetwork(identity, ClusterSecret.of(secret), listener);
        network.bind(address);
        return network;
    }

    /** Returns the port on which this node listens. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    /** Replaces the addresses of the other nodes; links to nodes that are gone are closed. */
    public void updateAddresses(Map<NodeName, InetSocketAddress> addresses) {
        mLinks.forEach(
                (node, link) -> {
                    if (!link.address().equals(addresses.get(node))) {
                        mLinks.remove(node, link);
                        link.close();
                    }
                });
        addresses.forEach(
                (node, address) -> {
                    if (!node.equals(mIdentity.name())) {
                        mLinks.computeIfAbsent(node, name -> newLink(address));
                    }
                });
    }

    /**
     * Sends a message.
     *
     * @return false when it was dropped because the receiver is unknown, can't be reached or reads
     *     too slowly; true says only that it was handed to the connection
     */
    public boolean send(NodeName receiver, Subject subject, MessageLite payload) {
        PeerLink link = mLinks.get(receiver);
        if (link == null || mCut.test(receiver)) {
            return false;
        }
        Envelope envelope =
                Envelope.newBuilder()
                        .setSubject(subject)
                        .setPayload(payload.toByteString())
                        .build();
        boolean sent = link.send(envelope);
        if (sent) {
            mSentMessages.increment();
            mSentBytes.add(envelope.getSerializedSize() + FRAME_OVERHEAD_BYTES);
        }
        return sent;
    }

    /** Drops all messages to and from the nodes that match; for tests. */
    public void cut(Predicate<NodeName> cut) {
        mCut = Objects.requireNonNull(cut, "cut");
    }

    /** Returns the bytes handed to connections since the start. */
    public long sentBytes() {
        return mSentBytes.sum();
    }

    /** Returns the messages handed to connections since the start. */
    public long sentMessages() {
        return mSentMessages.sum();
    }

    @Override
    public void close() {
        mLinks.values().forEach(PeerLink::close);
        mServer.close().awaitUninterruptibly(STOP_SECONDS, TimeUnit.SECONDS);
        mEventLoops
                .shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_SECONDS, TimeUnit.SECONDS);
    }

    private void bind(InetSocketAddress address) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        acceptLink(channel);
                                    }
                                });
        mServer = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    private void acceptLink(SocketChannel channel) {
        PeerFrames.addTo(channel.pipeline());
        channel.pipeline().addLast(new HandshakeHandler(mSecret, mIdentity, this::onProven));
    }

    private void onProven(ChannelHandlerContext context, NodeName sender) {
        context.pipeline().addLast(new EnvelopeHandler(sender, mListener, node -> mCut.test(node)));
    }

    private PeerLink newLink(InetSocketAddress address) {
        return new PeerLink(mEventLoops, address, mSecret, mIdentity);
    }
}
