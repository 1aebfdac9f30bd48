package org.foxtailridge.membership.group;

import java.time.Instant;

/**
 * A duty that the group has assigned to this node.
 *
 * @param partition number of the duty's partition in the group
 * @param fencing fencing number: the generation in which this node acquired the duty, which is
 *     higher for each later holder
 * @param acquiredAt instant on the clock of this node at which it acquired the duty
 * @param validUntil instant on the clock of this node at which the duty expires; the node may act
 *     on it only before
 */
public record HeldDuty(int partition, long fencing, Instant acquiredAt, Instant validUntil) {
    HeldDuty renewed(Instant newValidUntil) {
        return new HeldDuty(partition, fencing, acquiredAt, newValidUntil);
    }
}
