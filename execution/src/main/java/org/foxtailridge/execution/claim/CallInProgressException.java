package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** An earlier call with this idempotency key has not ended. */
public final class CallInProgressException extends FoxtailridgeException {
    CallInProgressException(long waitedMilliseconds) {
        super(
                ErrorKind.IN_PROGRESS,
                "an earlier request with this idempotency key has not ended after "
                        + waitedMilliseconds
                        + " ms");
    }
}
