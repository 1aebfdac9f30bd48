package org.foxtailridge.membership.group;

/** What the duties of a group ask the node to do. No call waits for its effect. */
public interface GroupOutbox {
    /**
     * Joins the group or stays in it; the answer is brought to {@link GroupDuties#onJoined} or
     * {@link GroupDuties#onJoinFailed}.
     *
     * @param join number to give back with the answer
     * @param generation last generation that this node has acted on; 0 for none
     */
    void join(long join, long generation);

    /** Leaves the group, so that its duties pass on at once. */
    void leaveGroup();

    /** A duty was taken. */
    void acquired(HeldDuty duty);

    /** A duty was kept for longer. */
    void renewed(HeldDuty duty);

    /** A duty was given up for good; nothing may be done under it any more. */
    void released(HeldDuty duty);

    /**
     * A duty has run out, as no join was answered in time. It may come back under the same fencing
     * number when the group has given it to nobody else.
     */
    void expired(HeldDuty duty);
}
