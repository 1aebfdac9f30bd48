package org.foxtailridge.configuration.fold;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record was offered to the fold out of its turn. */
public final class OffsetGapException extends FoxtailridgeException {
    OffsetGapException(long expected, long actual) {
        super(
                ErrorKind.INTERNAL,
                "expected the record at offset " + expected + " but was " + actual);
    }
}
