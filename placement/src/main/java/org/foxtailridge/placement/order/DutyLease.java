package org.foxtailridge.placement.order;

import java.time.Instant;
import java.util.Objects;

/**
 * The right to give orders to one endpoint until an instant.
 *
 * @param fencing number that grows with each lease of the duty
 * @param until end of the lease on this node's clock
 */
public record DutyLease(long fencing, Instant until) {
    /** Checks that nothing is missing. */
    public DutyLease {
        Objects.requireNonNull(until, "until");
    }

    /** Returns whether the lease is still good. */
    public boolean isGoodAt(Instant now) {
        return now.isBefore(until);
    }
}
