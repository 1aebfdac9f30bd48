package org.foxtailridge.limits;

import java.time.Instant;
import java.util.Objects;
import java.util.OptionalLong;
import org.foxtailridge.core.name.ClientAccountName;

/**
 * The right of this node to be the home node of one client account.
 *
 * <p>Whoever grants leases promises that at no time two nodes hold the lease of one client account,
 * and that each lease has a higher fencing number than the one before.
 *
 * @param account client account
 * @param fencing fencing number of the lease; renewals keep it
 * @param validUntil instant, by the clock of this node, at which the lease lapses
 * @param formerFencing fencing number of the lease before this one, empty when there was none ever
 */
public record HomeLease(
        ClientAccountName account, long fencing, Instant validUntil, OptionalLong formerFencing) {
    /** Checks that all parts are given and that the fencing number grew. */
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
