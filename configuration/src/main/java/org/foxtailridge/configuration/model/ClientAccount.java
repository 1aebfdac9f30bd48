package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * A customer.
 *
 * @param name name of the client account
 * @param plan name of its plan
 */
public record ClientAccount(String name, String plan) implements ConfigurationEntry {
    /** Checks that no part is missing. */
    public ClientAccount {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(plan, "plan");
    }
}
