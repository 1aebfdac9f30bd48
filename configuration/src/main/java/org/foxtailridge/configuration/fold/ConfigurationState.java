package org.foxtailridge.configuration.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailridge.configuration.model.Configuration;
import org.foxtailridge.configuration.model.ConfigurationEntry;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.EntryKind;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.configuration.record.Snapshot;
import org.foxtailridge.configuration.record.VersionedEntry;

/**
 * What a reader knows after folding all records up to an offset. Immutable.
 *
 * <p>Two readers at the same offset hold equal states.
 */
public final class ConfigurationState {
    /** Outcomes of the latest edits that a state keeps. */
    public static final int OUTCOMES_KEPT = 512;

    private static final ConfigurationState EMPTY =
            new ConfigurationState(Configuration.empty(), Map.of(), List.of());

    private final Configuration mConfiguration;
    private final Map<EntryKey, Long> mVersions;
    private final List<EditOutcome> mOutcomes;

    ConfigurationState(
            Configuration configuration, Map<EntryKey, Long> versions, List<EditOutcome> outcomes) {
        mConfiguration = configuration;
        mVersions = versions;
        mOutcomes = outcomes;
    }

    /** Returns the state before the first record. */
    public static ConfigurationState empty() {
        return EMPTY;
    }

    /** Returns the state that a snapshot holds, at the offset that it covers. */
    public static ConfigurationState of(Snapshot snapshot) {
        return of(snapshot, snapshot.coveredOffset());
    }

    static ConfigurationState of(Snapshot snapshot, long offset) {
        Configuration.Builder builder = Configuration.builder().offset(offset);
        Map<EntryKey, Long> versions = new TreeMap<>();
        for (VersionedEntry versioned : snapshot.entries()) {
            builder.put(versioned.entry());
            versions.put(EntryKey.of(versioned.entry()), versioned.version());
        }
        return new ConfigurationState(builder.build(), versions, snapshot.outcomes());
    }

    /** Returns the entries in force. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the offset of the last record folded; -1 for none. */
    public long offset() {
        return mConfiguration.offset();
    }

    /** Returns the offset of the record that last set an entry; -1 when there is no such entry. */
    public long versionOf(EntryKey key) {
        return mVersions.getOrDefault(key, Change.NO_VERSION);
    }

    /** Returns the outcome of an edit among the latest ones; empty when it is not among them. */
    public Optional<EditOutcome> outcomeOf(String editId) {
        return mOutcomes.stream().filter(outcome -> outcome.id().equals(editId)).findFirst();
    }

    /** Returns the outcomes of the latest edits, oldest first. */
    public List<EditOutcome> outcomes() {
        return mOutcomes;
    }

    /**
     * Returns a snapshot of this state.
     *
     * @param id unique identifier of the record
     */
    public Snapshot toSnapshot(String id) {
        List<VersionedEntry> entries = new ArrayList<>();
        for (EntryKind kind : EntryKind.values()) {
            for (ConfigurationEntry entry : mConfiguration.entries(kind)) {
                entries.add(new VersionedEntry(versionOf(EntryKey.of(entry)), entry));
            }
        }
        return new Snapshot(id, offset(), false, entries, mOutcomes);
    }

    boolean isPassedOverBy(ConfigurationState after) {
        return mVersions == after.mVersions && mOutcomes == after.mOutcomes;
    }

    ConfigurationState passedOver(long offset) {
        Configuration configuration = mConfiguration.toBuilder().offset(offset).build();
        return new ConfigurationState(configuration, mVersions, mOutcomes);
    }

    ConfigurationState withOutcome(EditOutcome outcome) {
        List<EditOutcome> outcomes = new ArrayList<>(mOutcomes);
        outcomes.add(outcome);
        if (outcomes.size() > OUTCOMES_KEPT) {
            outcomes.remove(0);
        }
        return new ConfigurationState(mConfiguration, mVersions, List.copyOf(outcomes));
    }

    ConfigurationState withChanges(List<Change> changes, long offset) {
        Configuration.Builder builder = mConfiguration.toBuilder().offset(offset);
        Map<EntryKey, Long> versions = new TreeMap<>(mVersions);
        for (Change change : changes) {
            EntryKey key = change.key();
            if (change.value().isPresent()) {
                builder.put(change.value().get());
                versions.put(key, offset);
            } else {
                builder.remove(key.kind(), key.name());
                versions.remove(key);
            }
        }
        return new ConfigurationState(builder.build(), versions, mOutcomes);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationState state
                && mConfiguration.equals(state.mConfiguration)
                && mVersions.equals(state.mVersions)
                && mOutcomes.equals(state.mOutcomes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mConfiguration, mVersions, mOutcomes);
    }

    @Override
    public String toString() {
        return "ConfigurationState[offset=" + offset() + ", entries=" + mVersions.size() + "]";
    }
}
