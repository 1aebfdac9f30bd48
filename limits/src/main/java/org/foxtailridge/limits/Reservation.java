package org.foxtailridge.limits;

import java.util.Objects;
import org.foxtailridge.core.name.ClientAccountName;

/**
 * Tokens reserved for one request before it runs.
 *
 * @param id number that is unique within the limiter
 * @param account client account that is charged
 * @param tokens tokens reserved
 */
public record Reservation(long id, ClientAccountName account, long tokens) {
    /** Rejects null. */
    public Reservation {
        Objects.requireNonNull(account, "account");
    }
}
