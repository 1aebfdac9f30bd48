package org.foxtailridge.membership.group;

/** Requests and events of {@link GroupDuties}. Calls must not block. */
public interface GroupOutbox {
    /**
     * Sends a join; the result goes to {@link GroupDuties#onJoined} or {@link
     * GroupDuties#onJoinFailed}.
     *
     * @param join number to pass on with the result
     * @param generation last generation that this node has applied; 0 for none
     */
    void join(long join, long generation);

    /** Leaves the group, so that it can assign the node's duties to others at once. */
    void leaveGroup();

    /** Called when this node has acquired a duty. */
    void acquired(HeldDuty duty);

    /** Called when a held duty has a later end of validity. */
    void renewed(HeldDuty duty);

    /** Called when a duty is released; the node must not act under its fencing number again. */
    void released(HeldDuty duty);

    /**
     * Called when a duty has expired because no join was answered in time. The node must stop
     * acting on it. It may acquire the duty again, under the same fencing number, if the group has
     * assigned it to no other member meanwhile.
     */
    void expired(HeldDuty duty);
}
