package org.foxtailridge.configuration.record;

import java.util.List;
import java.util.Objects;

/**
 * The whole state up to an offset.
 *
 * <p>A reader whose own state is at or past the covered offset passes over a snapshot, since it has
 * folded the same records. A snapshot that replaces is different: it is an operator's decision to
 * start again from the listed entries after records were lost unread, and every reader takes it
 * over at the offset of the record itself.
 *
 * @param id unique identifier
 * @param coveredOffset offset of the last record that the state includes
 * @param replaces whether the state replaces that of every reader
 * @param entries all entries with their versions
 * @param outcomes outcomes of the latest edits, oldest first
 */
public record Snapshot(
        String id,
        long coveredOffset,
        boolean replaces,
        List<VersionedEntry> entries,
        List<EditOutcome> outcomes)
        implements ConfigurationRecord {
    /** Checks the parts and copies the lists. */
    public Snapshot {
        Objects.requireNonNull(id, "id");
        entries = List.copyOf(entries);
        outcomes = List.copyOf(outcomes);
    }
}
