package org.foxtailridge.configuration.record;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record of a known format does not hold what that format demands. */
public final class UnreadableRecordException extends FoxtailridgeException {
    private final String mId;

    UnreadableRecordException(String id, String reason) {
        super(ErrorKind.CONFIGURATION_INVALID, "unreadable record: " + reason);
        mId = id;
    }

    /** Returns the record's identifier; an empty text when it has none. */
    public String id() {
        return mId;
    }
}
