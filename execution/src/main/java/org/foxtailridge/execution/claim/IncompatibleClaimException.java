package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record of the stream {@code claims} can't be read by this version. */
public final class IncompatibleClaimException extends FoxtailridgeException {
    IncompatibleClaimException(long offset, String reason) {
        super(
                ErrorKind.INCOMPATIBLE_VERSION,
                "record at offset " + offset + " of stream claims: " + reason);
    }
}
