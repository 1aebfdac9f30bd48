package org.foxtailridge.core.name;

/**
 * Name of a listed adapter.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record AdapterName(String value) implements Comparable<AdapterName> {
    /** Checks the name. */
    public AdapterName {
        Names.requireName(value);
    }

    /** Returns the typed form of a name. */
    public static AdapterName of(String value) {
        return new AdapterName(value);
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
