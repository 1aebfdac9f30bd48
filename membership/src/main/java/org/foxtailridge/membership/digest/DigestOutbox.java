package org.foxtailridge.membership.digest;

import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.digest.DigestMessage;
import org.foxtailridge.protocol.relay.StreamPosition;

/** Network, duties and streams, as the dissemination uses them. */
public interface DigestOutbox {
    /** Sends a message once, without acknowledgement or retry. */
    void send(NodeName receiver, DigestMessage message);

    /** Returns the node that wants the demand of the fleet, empty while none is known. */
    Optional<NodeName> demandReader();

    /** Returns how far this node has read the streams of the log. */
    List<StreamPosition> positions();
}
