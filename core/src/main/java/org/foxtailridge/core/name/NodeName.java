package org.foxtailridge.core.name;

/**
 * Name of a node, which is the one process on an entry VM.
 *
 * @param value the name; see {@link Names#requireName}
 */
public record NodeName(String value) implements Comparable<NodeName> {
    /** Checks the name. */
    public NodeName {
        Names.requireName(value);
    }

    /** Returns the typed form of a name. */
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
