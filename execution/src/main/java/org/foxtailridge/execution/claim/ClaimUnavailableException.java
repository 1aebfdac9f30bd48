package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The call could not be claimed; it was not run and will not be. */
public final class ClaimUnavailableException extends FoxtailridgeException {
    ClaimUnavailableException(String reason) {
        super(ErrorKind.CLAIM_UNAVAILABLE, "the idempotency key could not be claimed: " + reason);
    }
}
