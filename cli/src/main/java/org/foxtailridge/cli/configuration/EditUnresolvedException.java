package org.foxtailridge.cli.configuration;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when it could not be found out whether an edit is in the log. */
public final class EditUnresolvedException extends FoxtailridgeException {
    EditUnresolvedException(String id, boolean mayBeInLog) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                mayBeInLog
                        ? "edit "
                                + id
                                + " may or may not be in the log, which can't be read; "
                                + "look with: foxtailridge configuration diff"
                        : "edit " + id + " is not in the log, which refuses appends");
    }
}
