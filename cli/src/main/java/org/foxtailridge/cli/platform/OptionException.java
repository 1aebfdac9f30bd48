package org.foxtailridge.cli.platform;

import java.io.IOException;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when the options of a command don't go together or name something that can't be read. */
public final class OptionException extends FoxtailridgeException {
    /** Creates the failure with what was expected and what was found. */
    public OptionException(String expected, String actual) {
        super(ErrorKind.MALFORMED_REQUEST, "expected " + expected + " but was " + actual);
    }

    /** Returns the failure to read a file that was named. */
    public static OptionException unreadable(String file, IOException failure) {
        return new OptionException(
                "a readable file", file + ": " + failure.getClass().getSimpleName());
    }
}
