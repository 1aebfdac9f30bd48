package org.foxtailridge.limits;

import java.util.Objects;
import org.foxtailridge.core.name.ClientAccountName;

/**
 * Tokens set aside before a request runs.
 *
 * @param id number that is unique within the process
 * @param account client account that is charged
 * @param tokens tokens set aside
 */
public record Reservation(long id, ClientAccountName account, long tokens) {
    /** Checks that the account is given. */
    public Reservation {
        Objects.requireNonNull(account, "account");
    }
}
