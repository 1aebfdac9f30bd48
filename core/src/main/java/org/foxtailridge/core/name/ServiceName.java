package org.foxtailridge.core.name;

/**
 * Name of a plain service.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Checks the name. */
    public ServiceName {
        Names.requireName(value);
    }

    /** Returns the typed form of a name. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
