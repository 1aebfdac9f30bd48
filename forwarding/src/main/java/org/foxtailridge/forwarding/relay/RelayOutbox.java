package org.foxtailridge.forwarding.relay;

import java.util.List;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.relay.RelayMessage;

/** Interface through which a relay sends messages and reads the list of live nodes. */
public interface RelayOutbox {
    /** Sends a message once; it may be lost. */
    void send(NodeName receiver, RelayMessage message);

    /** Returns the other live nodes. */
    List<NodeName> peers();
}
