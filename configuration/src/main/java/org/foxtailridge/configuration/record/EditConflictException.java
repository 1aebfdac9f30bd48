package org.foxtailridge.configuration.record;

import java.util.List;
import java.util.stream.Collectors;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** An edit lost to another edit of the same entry that came first. */
public final class EditConflictException extends FoxtailridgeException {
    /** Creates the failure of an edit from the entries that another edit changed first. */
    public EditConflictException(String id, List<Conflict> conflicts) {
        super(
                ErrorKind.EDIT_CONFLICT,
                "edit "
                        + id
                        + " lost to an earlier one: "
                        + conflicts.stream()
                                .map(Conflict::toString)
                                .collect(Collectors.joining("; ")));
    }
}
