package org.foxtailridge.membership.group;

import java.util.Set;

/**
 * Answer of the group to a join.
 *
 * @param generation number that grows with each change of the group
 * @param partitions numbers of the partitions that belong to the member in this generation
 */
public record GroupAssignment(long generation, Set<Integer> partitions) {
    /** Copies the set. */
    public GroupAssignment {
        partitions = Set.copyOf(partitions);
    }
}
