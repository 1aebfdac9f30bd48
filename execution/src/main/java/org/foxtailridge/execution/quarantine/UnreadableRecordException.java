package org.foxtailridge.execution.quarantine;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record of the quarantine can't be read by this version. */
public final class UnreadableRecordException extends FoxtailridgeException {
    /** Creates a failure that shows what was expected and found. */
    public UnreadableRecordException(String expected, String found) {
        super(
                ErrorKind.INCOMPATIBLE_VERSION,
                "expected a quarantine record with " + expected + " but was " + found);
    }
}
