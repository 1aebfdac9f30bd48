package org.foxtailridge.membership.group;

import java.util.Set;

/**
 * Answer of the group to a join: the partitions that are assigned to the member.
 *
 * @param generation number that grows with each change of the group
 * @param partitions numbers of the partitions that the member may hold in this generation
 */
public record GroupAssignment(long generation, Set<Integer> partitions) {
    /** Copies the partitions. */
    public GroupAssignment {
        partitions = Set.copyOf(partitions);
    }
}
