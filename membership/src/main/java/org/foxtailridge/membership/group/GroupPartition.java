package org.foxtailridge.membership.group;

/**
 * A partition that the group has given to a member.
 *
 * @param partition number of the partition, from 0 on
 * @param committed number that its last holder committed; 0 when none ever did
 */
public record GroupPartition(int partition, long committed) {}
