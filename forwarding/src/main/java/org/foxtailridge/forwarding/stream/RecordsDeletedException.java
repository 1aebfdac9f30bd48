package org.foxtailridge.forwarding.stream;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The records from an offset on are not kept any more; the newest of each key are. */
public final class RecordsDeletedException extends FoxtailridgeException {
    private static final long serialVersionUID = 1;

    /** Creates a failure to read a stream from an offset. */
    public RecordsDeletedException(KeyedStream stream, long offset) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected records of " + stream + " from offset " + offset + " but they are gone");
    }
}
