package org.foxtailridge.configuration.fold;

import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.configuration.record.EditOutcome;

/**
 * What one record did.
 *
 * @param before state before the record
 * @param after state after the record
 * @param outcome outcome of the edit that the record held; empty for a snapshot and for a second
 *     copy of an edit
 */
public record FoldResult(
        ConfigurationState before, ConfigurationState after, Optional<EditOutcome> outcome) {
    /** Checks that no part is missing. */
    public FoldResult {
        Objects.requireNonNull(before, "before");
        Objects.requireNonNull(after, "after");
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns whether the record changed nothing but the offset and held no new edit. */
    public boolean passedOver() {
        return outcome.isEmpty() && before.isPassedOverBy(after);
    }
}
