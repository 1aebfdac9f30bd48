package org.foxtailridge.cli.platform;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when the options of a command don't go together or name something that can't be read. */
public final class OptionException extends FoxtailridgeException {
    /** Creates the failure with what was expected and what was found. */
    public OptionException(String expected, String actual) {
        super(ErrorKind.MALFORMED_REQUEST, "expected " + expected + " but was " + actual);
    }
}
