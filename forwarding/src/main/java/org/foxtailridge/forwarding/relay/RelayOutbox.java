package org.foxtailridge.forwarding.relay;

import java.util.List;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.relay.RelayMessage;

/** What a relay asks the node to do. */
public interface RelayOutbox {
    /** Sends a message, which may be lost. */
    void send(NodeName receiver, RelayMessage message);

    /** Returns the other nodes that are live. */
    List<NodeName> peers();
}
