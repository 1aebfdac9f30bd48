package org.foxtailridge.membership.group;

import java.util.List;

/**
 * Answer of the group to a join.
 *
 * @param generation number that grows with each change of the group
 * @param partitions partitions that belong to the member in this generation
 */
public record GroupAnswer(long generation, List<GroupPartition> partitions) {
    /** Copies the list. */
    public GroupAnswer {
        partitions = List.copyOf(partitions);
    }
}
