package org.foxtailridge.forwarding.node;

import java.util.OptionalLong;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.group.HeldDuty;

/**
 * Listener for changes of duties: this node's own leases and the holders on other nodes. A duty is
 * named by its partition in the group of nodes.
 */
interface DutyListener {
    /**
     * This node acquired a duty or renewed its lease.
     *
     * @param duty the duty with its fencing number and the end of its lease
     * @param former fencing number of the previous holder, 0 when it is unknown; empty when the
     *     duty was never held before
     */
    void held(HeldDuty duty, OptionalLong former);

    /** This node released a duty and will not use its lease any more. */
    void released(HeldDuty duty);

    /**
     * This node's lease of a duty expired without a renewal. It may be held again later under the
     * same fencing number, when no other node has acquired it.
     */
    void expired(HeldDuty duty);

    /** Another node announced that it holds a duty, with a higher fencing number than known. */
    void heldByPeer(int partition, NodeName holder, long fencing);
}
