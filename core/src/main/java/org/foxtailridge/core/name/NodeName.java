package org.foxtailridge.core.name;

/**
 * Name of a node. A node is the single process of the system on an entry VM.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record NodeName(String value) implements Comparable<NodeName> {
    /** Rejects a value that is not an allowed name. */
    public NodeName {
        Names.requireName(value);
    }

    /**
     * Returns the typed name.
     *
     * @throws IllegalArgumentException if the value is not an allowed name
     */
    public static NodeName of(String value) {
        return new NodeName(value);
    }

    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
