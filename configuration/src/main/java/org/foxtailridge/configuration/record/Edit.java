package org.foxtailridge.configuration.record;

import java.util.List;
import java.util.Objects;

/**
 * An operator's edit. All of its changes come into force together, or none does.
 *
 * @param id unique identifier
 * @param author who made the edit
 * @param changes changes, at least one, each of another entry
 */
public record Edit(String id, String author, List<Change> changes) implements ConfigurationRecord {
    /** Checks the parts and copies the list. */
    public Edit {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        changes = List.copyOf(changes);
        if (changes.isEmpty()) {
            throw new IllegalArgumentException("expected at least one change but was none");
        }
        if (changes.stream().map(Change::key).distinct().count() != changes.size()) {
            throw new IllegalArgumentException("expected one change for each entry");
        }
    }
}
