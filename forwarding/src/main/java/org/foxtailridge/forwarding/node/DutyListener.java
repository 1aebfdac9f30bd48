package org.foxtailridge.forwarding.node;

import java.util.OptionalLong;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.group.HeldDuty;

/** Is told who does which duty. */
interface DutyListener {
    /**
     * This node holds a duty, or holds it for longer.
     *
     * @param duty the duty
     * @param former fencing number of the holder before, 0 when it isn't known; empty when there
     *     was none ever
     */
    void held(HeldDuty duty, OptionalLong former);

    /** This node has given a duty up for good. */
    void released(HeldDuty duty);

    /** This node's hold of a duty has run out for now. */
    void lapsed(HeldDuty duty);

    /** Another node holds a duty. */
    void elsewhere(int partition, NodeName holder, long fencing);
}
