package org.foxtailridge.node.peer;

import com.google.protobuf.ByteString;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.envelope.Subject;

/** Receives messages from other nodes, on network threads; must return at once. */
public interface PeerListener {
    /**
     * A message arrived from a node that proved that it knows the cluster secret.
     *
     * @param sender node that sent it
     * @param subject module that the payload belongs to
     * @param payload the subject's own message, encoded
     */
    void onMessage(NodeName sender, Subject subject, ByteString payload);
}
