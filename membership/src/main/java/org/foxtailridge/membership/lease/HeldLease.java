package org.foxtailridge.membership.lease;

import java.time.Instant;
import java.util.Objects;

/**
 * A lease that this node holds.
 *
 * @param duty name of the duty
 * @param fencing fencing number: the offset of the record that acquired the lease; every order
 *     under the lease carries it
 * @param validUntil instant on this node's clock at which the lease expires; the node may act on
 *     the duty only before it
 */
public record HeldLease(String duty, long fencing, Instant validUntil) {
    /** Rejects null components. */
    public HeldLease {
        Objects.requireNonNull(duty, "duty");
        Objects.requireNonNull(validUntil, "validUntil");
    }
}
