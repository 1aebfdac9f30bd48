package org.foxtailridge.membership.lease;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when a lease record has a newer format than this version can read. */
public final class IncompatibleLeaseException extends FoxtailridgeException {
    IncompatibleLeaseException(int format) {
        super(
                ErrorKind.INCOMPATIBLE_VERSION,
                "expected a lease record of format "
                        + LeaseRecord.FORMAT
                        + " or lower but was "
                        + format);
    }
}
