package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The idempotency key is older than the window in which keys are kept. */
public final class KeyExpiredException extends FoxtailridgeException {
    KeyExpiredException(long windowMilliseconds) {
        super(
                ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                "expected an idempotency key of the last "
                        + windowMilliseconds
                        + " ms but it is older");
    }
}
