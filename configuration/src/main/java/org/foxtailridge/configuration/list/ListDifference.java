package org.foxtailridge.configuration.list;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.model.CallerKey;
import org.foxtailridge.configuration.model.ClientAccount;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;

/**
 * The changes that lead from the state in force to a list.
 *
 * <p>Entries that the list does not hold are removed, except keys: these are given and withdrawn on
 * their own, and are removed only together with their client account.
 *
 * @param changes changes in order of kind and name; none when the list is in force already
 */
public record ListDifference(List<Change> changes) {
    /** Copies the list. */
    public ListDifference {
        changes = List.copyOf(changes);
    }

    /**
     * Returns the changes that lead to a list.
     *
     * @param current state in force, whose versions the edit builds on
     * @param listed entries that shall be in force
     */
    public static ListDifference between(ConfigurationState current, Configuration listed) {
        List<Change> changes = new ArrayList<>();
        for (EntryKind kind : EntryKind.values()) {
            addSet(changes, kind, current, listed);
            addRemoved(changes, kind, current, listed);
        }
        return new ListDifference(changes);
    }

    /**
     * Returns the edit that makes the changes; empty when there are none.
     *
     * @param id unique identifier
     * @param author who makes the edit
     */
    public Optional<Edit> toEdit(String id, String author) {
        return changes.isEmpty() ? Optional.empty() : Optional.of(new Edit(id, author, changes));
    }

    private static void addSet(
            List<Change> changes,
            EntryKind kind,
            ConfigurationState current,
            Configuration listed) {
        for (ConfigurationEntry entry : listed.entries(kind)) {
            Optional<ConfigurationEntry> before = current.configuration().entry(kind, entry.name());
            if (before.isEmpty() || !before.get().equals(entry)) {
                changes.add(Change.set(entry, current.versionOf(EntryKey.of(entry))));
            }
        }
    }

    private static void addRemoved(
            List<Change> changes,
            EntryKind kind,
            ConfigurationState current,
            Configuration listed) {
        for (ConfigurationEntry entry : current.configuration().entries(kind)) {
            if (isRemoved(entry, kind, listed)) {
                EntryKey key = EntryKey.of(entry);
                changes.add(Change.remove(key, current.versionOf(key)));
            }
        }
    }

    private static boolean isRemoved(
            ConfigurationEntry entry, EntryKind kind, Configuration listed) {
        if (entry instanceof CallerKey key) {
            return listed.find(ClientAccount.class, key.clientAccount()).isEmpty();
        }
        return listed.entry(kind, entry.name()).isEmpty();
    }
}
