package org.foxtailridge.configuration.model;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Everything that is listed as of one offset of the log. Immutable.
 *
 * <pre>{@code
 * Configuration next = configuration.toBuilder().offset(17).put(plan).build();
 * next.plan("gold");
 * }</pre>
 */
public final class Configuration {
    private static final Configuration EMPTY = new Builder().build();

    private final long mOffset;
    private final Map<EntryKind, Map<String, ConfigurationEntry>> mEntries;

    private Configuration(Builder builder) {
        mOffset = builder.mOffset;
        mEntries = new EnumMap<>(EntryKind.class);
        builder.mEntries.forEach((kind, entries) -> mEntries.put(kind, new TreeMap<>(entries)));
    }

    /** Returns the configuration before the first record: no entries, offset -1. */
    public static Configuration empty() {
        return EMPTY;
    }

    /** Returns a builder that starts with no entries. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the offset of the last record that this configuration includes; -1 for none. */
    public long offset() {
        return mOffset;
    }

    /** Returns the entries of one kind in order of their names. */
    public Collection<ConfigurationEntry> entries(EntryKind kind) {
        return Collections.unmodifiableCollection(mEntries.get(kind).values());
    }

    /** Returns an entry by kind and name. */
    public Optional<ConfigurationEntry> entry(EntryKind kind, String name) {
        return Optional.ofNullable(mEntries.get(kind).get(name));
    }

    /** Returns all entries of the class in order of their names. */
    public <E extends ConfigurationEntry> List<E> all(Class<E> entryClass) {
        return mEntries.get(kindOf(entryClass)).values().stream().map(entryClass::cast).toList();
    }

    /** Returns an entry of the class by its name. */
    public <E extends ConfigurationEntry> Optional<E> find(Class<E> entryClass, String name) {
        return Optional.ofNullable(mEntries.get(kindOf(entryClass)).get(name))
                .map(entryClass::cast);
    }

    /** Returns a builder that starts with this configuration's offset and entries. */
    public Builder toBuilder() {
        Builder builder = new Builder().offset(mOffset);
        mEntries.forEach((kind, entries) -> builder.mEntries.get(kind).putAll(entries));
        return builder;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration configuration
                && mOffset == configuration.mOffset
                && mEntries.equals(configuration.mEntries);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mOffset, mEntries);
    }

    @Override
    public String toString() {
        return "Configuration[offset=" + mOffset + ", entries=" + mEntries + "]";
    }

    private static EntryKind kindOf(Class<? extends ConfigurationEntry> entryClass) {
        for (EntryKind kind : EntryKind.values()) {
            if (kind.entryClass() == entryClass) {
                return kind;
            }
        }
        throw new IllegalArgumentException("expected a listed kind but was " + entryClass);
    }

    /** Builds a {@link Configuration}. */
    public static final class Builder {
        private static final long NO_OFFSET = -1;

        private final Map<EntryKind, Map<String, ConfigurationEntry>> mEntries =
                new EnumMap<>(EntryKind.class);
        private long mOffset = NO_OFFSET;

        private Builder() {
            for (EntryKind kind : EntryKind.values()) {
                mEntries.put(kind, new TreeMap<>());
            }
        }

        /** Sets the offset of the last record included. */
        public Builder offset(long offset) {
            mOffset = offset;
            return this;
        }

        /** Adds an entry or replaces the one of the same kind and name. */
        public Builder put(ConfigurationEntry entry) {
            mEntries.get(EntryKind.of(entry)).put(entry.name(), entry);
            return this;
        }

        /** Removes an entry; does nothing when there is none. */
        public Builder remove(EntryKind kind, String name) {
            mEntries.get(kind).remove(name);
            return this;
        }

        /** Returns the configuration. */
        public Configuration build() {
            return new Configuration(this);
        }
    }
}
