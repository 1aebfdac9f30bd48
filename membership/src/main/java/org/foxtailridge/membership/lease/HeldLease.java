package org.foxtailridge.membership.lease;

import java.time.Instant;
import java.util.Objects;

/**
 * A lease that this node holds.
 *
 * @param duty name of the duty
 * @param fencing fencing number, to be sent with every order
 * @param validUntil instant by this node's clock before which it may act
 */
public record HeldLease(String duty, long fencing, Instant validUntil) {
    /** Checks that no part is missing. */
    public HeldLease {
        Objects.requireNonNull(duty, "duty");
        Objects.requireNonNull(validUntil, "validUntil");
    }
}
