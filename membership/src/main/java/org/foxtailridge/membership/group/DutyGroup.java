package org.foxtailridge.membership.group;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Client of a group of the platform's log, which assigns each partition to one of the group's
 * members. Futures complete on the thread that drives the node.
 */
public interface DutyGroup {
    /**
     * Joins the group, or renews the membership.
     *
     * @param member name of this member
     * @param lifetime time without a join after which the group removes the member
     * @param generation last generation that the member has applied; 0 for none. The member sends
     *     it only after it has released the partitions that were not assigned to it in the answer,
     *     so that the group can assign them to others
     */
    CompletableFuture<GroupAssignment> join(String member, Duration lifetime, long generation);

    /** Leaves the group, which then assigns the member's partitions to others. */
    CompletableFuture<Void> leave(String member);
}
