package org.foxtailridge.node.duty;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.node.peer.PeerListener;
import org.foxtailridge.protocol.envelope.Subject;

/** Hands messages of other nodes to the duty that their subject belongs to; drops the rest. */
@Singleton
public final class PeerMessages implements PeerListener {
    private final Map<Subject, BiConsumer<NodeName, ByteString>> mReceivers =
            new ConcurrentHashMap<>();

    /** Creates a switchboard without receivers. */
    @Inject
    public PeerMessages() {}

    /** Sets the receiver of a subject; it is called on network threads and must return at once. */
    public void receive(Subject subject, BiConsumer<NodeName, ByteString> receiver) {
        mReceivers.put(subject, receiver);
    }

    @Override
    public void onMessage(NodeName sender, Subject subject, ByteString payload) {
        BiConsumer<NodeName, ByteString> receiver = mReceivers.get(subject);
        if (receiver != null) {
            receiver.accept(sender, payload);
        }
    }
}
