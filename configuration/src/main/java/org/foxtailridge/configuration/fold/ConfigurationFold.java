package org.foxtailridge.configuration.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.configuration.check.ConfigurationChecks;
import org.foxtailridge.configuration.check.Problem;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.ConfigurationRecord;
import org.foxtailridge.configuration.record.Conflict;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.EditOutcome;
import org.foxtailridge.configuration.record.IncompatibleRecordException;
import org.foxtailridge.configuration.record.RecordCodec;
import org.foxtailridge.configuration.record.Snapshot;
import org.foxtailridge.configuration.record.UnreadableRecordException;

/**
 * Folds the records of the stream {@code configuration}, one after the other.
 *
 * <p>Every reader that folds the same records comes to the same state: of two edits of one entry
 * against the same version, the first in the log is in force and the second is lost; an edit whose
 * result fails {@link ConfigurationChecks} is refused; in both cases nothing of it is applied. Not
 * safe for use by several threads.
 *
 * <pre>{@code
 * ConfigurationFold fold = ConfigurationFold.create();
 * FoldResult result = fold.apply(0, payload);
 * result.outcome().map(EditOutcome::status); // IN_FORCE
 * fold.state().configuration();
 * }</pre>
 */
public final class ConfigurationFold {
    private ConfigurationState mState;

    private ConfigurationFold(ConfigurationState state) {
        mState = state;
    }

    /** Returns a fold that waits for offset 0. */
    public static ConfigurationFold create() {
        return new ConfigurationFold(ConfigurationState.empty());
    }

    /** Returns a fold that continues after a state, for example that of a snapshot. */
    public static ConfigurationFold from(ConfigurationState state) {
        return new ConfigurationFold(Objects.requireNonNull(state, "state"));
    }

    /** Returns the state after the last record folded. */
    public ConfigurationState state() {
        return mState;
    }

    /**
     * Folds the next record.
     *
     * @param offset offset of the record; one above that of the state
     * @param payload payload of the record
     * @throws OffsetGapException when the record is not the next one
     * @throws IncompatibleRecordException when its format is newer than this version reads; the
     *     state stays as it was
     */
    public FoldResult apply(long offset, String payload) {
        requireNext(offset);
        ConfigurationState before = mState;
        Step step = step(before, offset, payload);
        mState = step.mAfter;
        return new FoldResult(before, step.mAfter, step.mOutcome);
    }

    /**
     * Passes over a record that another reader has found to be a snapshot that does not replace.
     *
     * @param offset offset of the record; one above that of the state
     * @throws OffsetGapException when the record is not the next one
     */
    public FoldResult passOver(long offset) {
        requireNext(offset);
        ConfigurationState before = mState;
        mState = before.passedOver(offset);
        return new FoldResult(before, mState, Optional.empty());
    }

    /**
     * Returns the state from which a reader that lacks earlier records can start at a record; empty
     * when the record is not a snapshot or does not reach back to the retained records.
     *
     * @param offset offset of the record
     * @param payload payload of the record
     * @param firstRetained offset of the first record that the log still holds
     * @throws IncompatibleRecordException when its format is newer than this version reads
     */
    public static Optional<ConfigurationState> startAt(
            long offset, String payload, long firstRetained) {
        ConfigurationRecord record;
        try {
            record = RecordCodec.read(payload);
        } catch (UnreadableRecordException unreadable) {
            return Optional.empty();
        }
        if (!(record instanceof Snapshot snapshot)) {
            return Optional.empty();
        }
        boolean reachesBack =
                snapshot.replaces()
                        || (snapshot.coveredOffset() + 1 >= firstRetained
                                && snapshot.coveredOffset() < offset);
        if (!reachesBack) {
            return Optional.empty();
        }
        long start = snapshot.replaces() ? offset : snapshot.coveredOffset();
        ConfigurationState state = ConfigurationState.of(snapshot, start);
        return reasonsAgainst(state).isEmpty() ? Optional.of(state) : Optional.empty();
    }

    private void requireNext(long offset) {
        if (offset != mState.offset() + 1) {
            throw new OffsetGapException(mState.offset() + 1, offset);
        }
    }

    private static Step step(ConfigurationState before, long offset, String payload) {
        ConfigurationRecord record;
        try {
            record = RecordCodec.read(payload);
        } catch (UnreadableRecordException unreadable) {
            return refuse(before, offset, unreadable.id(), List.of(unreadable.getMessage()));
        }
        if (record instanceof Edit edit) {
            return edit(before, offset, edit);
        }
        return snapshot(before, offset, (Snapshot) record);
    }

    private static Step snapshot(ConfigurationState before, long offset, Snapshot snapshot) {
        if (!snapshot.replaces()) {
            return new Step(before.passedOver(offset), Optional.empty());
        }
        ConfigurationState replaced = ConfigurationState.of(snapshot, offset);
        List<String> reasons = reasonsAgainst(replaced);
        if (!reasons.isEmpty()) {
            return refuse(before, offset, snapshot.id(), reasons);
        }
        return new Step(replaced, Optional.empty());
    }

    private static Step edit(ConfigurationState before, long offset, Edit edit) {
        if (before.outcomeOf(edit.id()).isPresent()) {
            return new Step(before.passedOver(offset), Optional.empty());
        }
        List<Conflict> conflicts = conflicts(before, edit);
        if (!conflicts.isEmpty()) {
            EditOutcome lost = EditOutcome.lost(edit.id(), offset, conflicts);
            return withOutcome(before.passedOver(offset), lost);
        }
        ConfigurationState changed = before.withChanges(edit.changes(), offset);
        List<String> reasons = reasonsAgainst(changed);
        if (!reasons.isEmpty()) {
            return refuse(before, offset, edit.id(), reasons);
        }
        return withOutcome(changed, EditOutcome.inForce(edit.id(), offset));
    }

    private static List<Conflict> conflicts(ConfigurationState state, Edit edit) {
        List<Conflict> conflicts = new ArrayList<>();
        for (Change change : edit.changes()) {
            long actual = state.versionOf(change.key());
            if (actual != change.base()) {
                conflicts.add(new Conflict(change.key(), change.base(), actual));
            }
        }
        return conflicts;
    }

    private static List<String> reasonsAgainst(ConfigurationState state) {
        return ConfigurationChecks.check(state.configuration()).stream()
                .map(Problem::toString)
                .limit(EditOutcome.REASONS_KEPT)
                .toList();
    }

    private static Step refuse(
            ConfigurationState before, long offset, String id, List<String> reasons) {
        return withOutcome(before.passedOver(offset), EditOutcome.refused(id, offset, reasons));
    }

    private static Step withOutcome(ConfigurationState state, EditOutcome outcome) {
        return new Step(state.withOutcome(outcome), Optional.of(outcome));
    }

    private static final class Step {
        private final ConfigurationState mAfter;
        private final Optional<EditOutcome> mOutcome;

        private Step(ConfigurationState after, Optional<EditOutcome> outcome) {
            mAfter = after;
            mOutcome = outcome;
        }
    }
}
