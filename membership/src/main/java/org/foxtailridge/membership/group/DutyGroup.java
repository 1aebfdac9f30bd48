package org.foxtailridge.membership.group;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A group of the platform's log. Futures complete on the thread that drives the node. */
public interface DutyGroup {
    /**
     * Joins the group or stays in it.
     *
     * @param member name of this member
     * @param lifetime silence after which the group takes the member's partitions away
     * @param generation last generation that the member has acted on; 0 for none
     */
    CompletableFuture<GroupAssignment> join(String member, Duration lifetime, long generation);

    /** Leaves the group. */
    CompletableFuture<Void> leave(String member);
}
