package org.foxtailridge.forwarding.stream;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/**
 * Thrown when the log has deleted records from the requested offset on. It still has the newest
 * record of each key.
 */
public final class RecordsDeletedException extends FoxtailridgeException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a read of a stream from an offset. */
    public RecordsDeletedException(KeyedStream stream, long offset) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected records of "
                        + stream
                        + " from offset "
                        + offset
                        + " but the log has deleted them");
    }
}
