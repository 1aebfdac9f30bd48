package org.foxtailridge.core.name;

/**
 * Name of an endpoint.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record EndpointName(String value) implements Comparable<EndpointName> {
    /** Rejects a value that is not an allowed name. */
    public EndpointName {
        Names.requireName(value);
    }

    /**
     * Returns the typed name.
     *
     * @throws IllegalArgumentException if the value is not an allowed name
     */
    public static EndpointName of(String value) {
        return new EndpointName(value);
    }

    @Override
    public int compareTo(EndpointName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
