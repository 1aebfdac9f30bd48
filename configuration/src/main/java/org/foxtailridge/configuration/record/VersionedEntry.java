package org.foxtailridge.configuration.record;

import java.util.Objects;
import org.foxtailridge.configuration.model.ConfigurationEntry;

/**
 * An entry and the offset of the record that last set it.
 *
 * @param version offset of the record that last set the entry
 * @param entry the entry
 */
public record VersionedEntry(long version, ConfigurationEntry entry) {
    /** Checks the parts. */
    public VersionedEntry {
        Objects.requireNonNull(entry, "entry");
    }
}
