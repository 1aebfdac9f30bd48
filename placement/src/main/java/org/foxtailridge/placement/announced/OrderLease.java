package org.foxtailridge.placement.announced;

import java.time.Instant;
import java.util.Objects;

/**
 * The right to give orders.
 *
 * @param fencing fencing number; grows with each holder
 * @param from instant from which orders may be sent, when those of the holder before are past
 * @param until instant from which nothing may be sent any more
 */
public record OrderLease(long fencing, Instant from, Instant until) {
    /** Checks that no part is missing. */
    public OrderLease {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(until, "until");
    }

    boolean isGoodAt(Instant now) {
        return !now.isBefore(from) && now.isBefore(until);
    }
}
