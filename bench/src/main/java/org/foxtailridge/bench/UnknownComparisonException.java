package org.foxtailridge.bench;

import java.util.List;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** No comparison has the name that was given. */
public final class UnknownComparisonException extends FoxtailridgeException {
    UnknownComparisonException(List<String> expected, String actual) {
        super(
                ErrorKind.MALFORMED_REQUEST,
                "expected one of " + String.join(", ", expected) + " but was " + actual);
    }
}
