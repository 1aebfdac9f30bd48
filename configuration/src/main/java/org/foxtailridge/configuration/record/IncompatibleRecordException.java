package org.foxtailridge.configuration.record;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record is of a newer format than this version reads. */
public final class IncompatibleRecordException extends FoxtailridgeException {
    IncompatibleRecordException(int format) {
        super(
                ErrorKind.INCOMPATIBLE_VERSION,
                "expected a record of format "
                        + ConfigurationRecord.FORMAT
                        + " or lower but was "
                        + format);
    }
}
