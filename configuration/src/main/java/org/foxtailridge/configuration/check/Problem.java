package org.foxtailridge.configuration.check;

import java.util.Objects;
import org.foxtailridge.configuration.model.EntryKey;

/**
 * One problem of a configuration and where it is.
 *
 * @param kind sort of the problem
 * @param entry entry that has the problem
 * @param field field of the entry, in snake case
 * @param message what was expected and what was found
 */
public record Problem(ProblemKind kind, EntryKey entry, String field, String message) {
    /** Checks that no part is missing. */
    public Problem {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return entry + ", " + field + ": " + message;
    }
}
