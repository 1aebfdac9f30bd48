package org.foxtailridge.core.name;

/**
 * Name of a data centre.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {
    /** Rejects a value that is not an allowed name. */
    public DataCentreName {
        Names.requireName(value);
    }

    /**
     * Returns the typed name.
     *
     * @throws IllegalArgumentException if the value is not an allowed name
     */
    public static DataCentreName of(String value) {
        return new DataCentreName(value);
    }

    @Override
    public int compareTo(DataCentreName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
