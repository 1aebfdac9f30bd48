package org.foxtailridge.execution.claim;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** The idempotency key was used before with another request. */
public final class KeyReusedException extends FoxtailridgeException {
    KeyReusedException(String expected, String found) {
        super(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "expected a request with fingerprint "
                        + expected
                        + " for this idempotency key but was "
                        + found);
    }
}
