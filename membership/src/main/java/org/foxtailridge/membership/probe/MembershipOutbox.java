package org.foxtailridge.membership.probe;

import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** Effects of a {@link Membership}. Calls come on the thread that drives the membership. */
public interface MembershipOutbox {
    /** Sends a message to another node. The message may be lost. */
    void send(NodeName node, MembershipMessage message);

    /**
     * Called when the set of known nodes or the state of one has changed, at most once for each
     * tick, VM list or leave.
     */
    void changed(MembershipView view);
}
