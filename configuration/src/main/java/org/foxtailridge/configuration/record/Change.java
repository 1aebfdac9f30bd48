package org.foxtailridge.configuration.record;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;

/**
 * One change of an edit: the entry's resulting value, and the version that the author saw.
 *
 * @param key kind and name of the entry
 * @param base offset of the record that last set the entry, as the author saw it; {@link
 *     #NO_VERSION} when the author saw no such entry
 * @param value the entry as it shall be; empty removes it
 */
public record Change(EntryKey key, long base, Optional<ConfigurationEntry> value) {
    /** Version of an entry that does not exist. */
    public static final long NO_VERSION = -1;

    /** Checks the parts. */
    public Change {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        if (value.isPresent() && !EntryKey.of(value.get()).equals(key)) {
            throw new IllegalArgumentException(
                    "expected a value of " + key + " but was " + EntryKey.of(value.get()));
        }
    }

    /** Returns a change that creates or replaces an entry. */
    public static Change set(ConfigurationEntry entry, long base) {
        return new Change(EntryKey.of(entry), base, Optional.of(entry));
    }

    /** Returns a change that removes an entry. */
    public static Change remove(EntryKey key, long base) {
        return new Change(key, base, Optional.empty());
    }
}
