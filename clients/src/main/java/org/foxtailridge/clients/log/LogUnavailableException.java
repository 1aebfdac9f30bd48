package org.foxtailridge.clients.log;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The log did not answer a read. */
public final class LogUnavailableException extends FoxtailridgeException {
    /** Creates the failure for a stream with the reason. */
    public LogUnavailableException(String stream, String reason) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected records of stream " + stream + " but was " + reason);
    }
}
