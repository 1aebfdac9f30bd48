package org.foxtailridge.clients.log;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The log refused an append: it has not taken effect and won't. */
public final class AppendRefusedException extends FoxtailridgeException {
    /** Creates the failure for a stream with the reason. */
    public AppendRefusedException(String stream, String reason) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected stream " + stream + " to accept an append but was " + reason);
    }
}
