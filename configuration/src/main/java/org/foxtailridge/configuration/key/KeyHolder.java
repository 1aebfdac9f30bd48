package org.foxtailridge.configuration.key;

import java.util.Objects;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Plan;

/**
 * Whom a key belongs to.
 *
 * @param key entry of the key
 * @param account its client account
 * @param plan the client account's plan
 */
public record KeyHolder(CallerKey key, ClientAccount account, Plan plan) {
    /** Checks that no part is missing. */
    public KeyHolder {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(plan, "plan");
    }
}
