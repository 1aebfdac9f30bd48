package org.foxtailridge.configuration.record;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * What became of an edit, alike on every node.
 *
 * @param id identifier of the edit
 * @param offset offset of its record
 * @param status what became of it
 * @param conflicts entries that another edit changed first; empty unless it was lost
 * @param reasons why it was refused; empty unless it was
 */
public record EditOutcome(
        String id,
        long offset,
        OutcomeStatus status,
        List<Conflict> conflicts,
        List<String> reasons) {
    /** Reasons that the outcome of a refused edit keeps. */
    public static final int REASONS_KEPT = 8;

    /** Checks the parts and copies the lists. */
    public EditOutcome {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(status, "status");
        conflicts = conflicts == null ? List.of() : List.copyOf(conflicts);
        reasons = reasons == null ? List.of() : List.copyOf(reasons);
    }

    /** Returns the outcome of an edit that is in force. */
    public static EditOutcome inForce(String id, long offset) {
        return new EditOutcome(id, offset, OutcomeStatus.IN_FORCE, List.of(), List.of());
    }

    /** Returns the outcome of an edit that came second. */
    public static EditOutcome lost(String id, long offset, List<Conflict> conflicts) {
        return new EditOutcome(id, offset, OutcomeStatus.LOST, conflicts, List.of());
    }

    /** Returns the outcome of an edit that was refused. */
    public static EditOutcome refused(String id, long offset, List<String> reasons) {
        return new EditOutcome(id, offset, OutcomeStatus.REFUSED, List.of(), reasons);
    }

    /** Returns the failure to report to the author; empty when the edit is in force. */
    public Optional<FoxtailridgeException> failure() {
        return switch (status) {
            case IN_FORCE -> Optional.empty();
            case LOST -> Optional.of(new EditConflictException(id, conflicts));
            case REFUSED -> Optional.of(new EditRefusedException(id, reasons));
        };
    }
}
