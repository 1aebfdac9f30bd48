package org.foxtailridge.configuration.record;

import java.util.Objects;
import org.foxtailridge.configuration.model.EntryKey;

/**
 * A change that was made against another version than the one in force.
 *
 * @param key entry that both edits changed
 * @param expectedVersion version that the author saw; -1 for none
 * @param actualVersion version in force when the edit was folded; -1 for none
 */
public record Conflict(EntryKey key, long expectedVersion, long actualVersion) {
    /** Checks that no part is missing. */
    public Conflict {
        Objects.requireNonNull(key, "key");
    }

    @Override
    public String toString() {
        return key + ": expected version " + expectedVersion + " but was " + actualVersion;
    }
}
