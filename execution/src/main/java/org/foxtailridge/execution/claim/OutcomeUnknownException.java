package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** An earlier call with this idempotency key may have run; it is not run again. */
public final class OutcomeUnknownException extends FoxtailridgeException {
    OutcomeUnknownException(String reason) {
        super(
                ErrorKind.OUTCOME_UNKNOWN,
                "an earlier request with this idempotency key may have run: " + reason);
    }
}
