package org.foxtailridge.configuration.model;

import java.util.Comparator;
import java.util.Objects;

/**
 * What identifies an entry: its kind and its name.
 *
 * @param kind kind of the entry
 * @param name name of the entry
 */
public record EntryKey(EntryKind kind, String name) implements Comparable<EntryKey> {
    private static final Comparator<EntryKey> ORDER =
            Comparator.comparing(EntryKey::kind).thenComparing(EntryKey::name);

    /** Checks that no part is missing. */
    public EntryKey {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
    }

    /** Returns the key of an entry. */
    public static EntryKey of(ConfigurationEntry entry) {
        return new EntryKey(EntryKind.of(entry), entry.name());
    }

    @Override
    public int compareTo(EntryKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.wireName() + " " + name;
    }
}
