package org.foxtailridge.membership.probe;

import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** What membership asks the node to do. Calls come on the thread that drives it. */
public interface MembershipOutbox {
    /** Sends a message to another node; it may be lost. */
    void send(NodeName node, MembershipMessage message);

    /** Takes note of changes of which nodes are known or of their states, once a tick at most. */
    void changed(MembershipView view);
}
