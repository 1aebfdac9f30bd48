package org.foxtailridge.clients.log;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The answer to an append is lost: it may have taken effect. */
public final class AppendUnresolvedException extends FoxtailridgeException {
    /** Creates the failure for a stream with its cause. */
    public AppendUnresolvedException(String stream, Throwable cause) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected an answer to an append to stream " + stream + " but was none");
        initCause(cause);
    }
}
