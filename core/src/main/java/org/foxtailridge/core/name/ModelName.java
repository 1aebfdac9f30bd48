package org.foxtailridge.core.name;

/**
 * Name of a listed model.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Checks the name. */
    public ModelName {
        Names.requireName(value);
    }

    /** Returns the typed form of a name. */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
