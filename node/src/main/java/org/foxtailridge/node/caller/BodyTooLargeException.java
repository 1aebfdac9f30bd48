package org.foxtailridge.node.caller;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A request body is larger than the limit. */
final class BodyTooLargeException extends FoxtailridgeException {
    BodyTooLargeException(long expectedBytes, long actualBytes) {
        super(
                ErrorKind.BODY_TOO_LARGE,
                "expected a body of at most "
                        + expectedBytes
                        + " bytes but was at least "
                        + actualBytes);
    }
}
