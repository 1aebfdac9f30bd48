package org.foxtailridge.core.name;

/**
 * Name of a client account.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record ClientAccountName(String value) implements Comparable<ClientAccountName> {
    /** Rejects a value that is not an allowed name. */
    public ClientAccountName {
        Names.requireName(value);
    }

    /**
     * Returns the typed name.
     *
     * @throws IllegalArgumentException if the value is not an allowed name
     */
    public static ClientAccountName of(String value) {
        return new ClientAccountName(value);
    }

    @Override
    public int compareTo(ClientAccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
