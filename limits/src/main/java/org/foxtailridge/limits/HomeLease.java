package org.foxtailridge.limits;

import java.time.Instant;
import java.util.Objects;
import java.util.OptionalLong;
import org.foxtailridge.core.name.ClientAccountName;

/**
 * Lease under which this node is the home node of one client account: the only node that grants the
 * account's tokens.
 *
 * <p>The lease service must guarantee that at no time two nodes hold the lease of one client
 * account, and that each lease has a higher fencing number than the one before.
 *
 * @param account client account
 * @param fencing fencing number of the lease; a renewal does not change it
 * @param validUntil instant at which the lease expires, by the clock of this node
 * @param formerFencing fencing number of the lease before this one, empty if this is the first one
 */
public record HomeLease(
        ClientAccountName account, long fencing, Instant validUntil, OptionalLong formerFencing) {
    /** Rejects null, and a fencing number that is not above the former one. */
    public HomeLease {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(validUntil, "validUntil");
        Objects.requireNonNull(formerFencing, "formerFencing");
        if (formerFencing.isPresent() && formerFencing.getAsLong() >= fencing) {
            throw new IllegalArgumentException(
                    "fencing must be above " + formerFencing.getAsLong() + " but was " + fencing);
        }
    }
}
