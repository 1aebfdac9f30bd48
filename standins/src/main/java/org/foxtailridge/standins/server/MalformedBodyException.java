package org.foxtailridge.standins.server;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when the body of a request is not the JSON that its path expects. */
public final class MalformedBodyException extends FoxtailridgeException {
    /**
     * Creates the failure.
     *
     * @param expected type that was expected
     * @param actual what was found instead
     */
    public MalformedBodyException(Class<?> expected, String actual) {
        super(
                ErrorKind.MALFORMED_REQUEST,
                "expected JSON of " + expected.getSimpleName() + " but was " + actual);
    }
}
