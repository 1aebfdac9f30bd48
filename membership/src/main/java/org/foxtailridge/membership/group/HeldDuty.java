package org.foxtailridge.membership.group;

import java.time.Instant;

/**
 * A duty that this node may do.
 *
 * @param partition partition of the group that stands for the duty
 * @param fencing generation in which this node took the duty; grows with each holder
 * @param acquiredAt instant, by the clock of this node, at which it took the duty
 * @param validUntil instant, by the clock of this node, from which it may not act any more
 */
public record HeldDuty(int partition, long fencing, Instant acquiredAt, Instant validUntil) {
    HeldDuty renewed(Instant newUntil) {
        return new HeldDuty(partition, fencing, acquiredAt, newUntil);
    }
}
