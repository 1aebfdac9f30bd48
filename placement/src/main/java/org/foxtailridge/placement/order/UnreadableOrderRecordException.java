package org.foxtailridge.placement.order;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A record of the stream {@code orders} that this version can't read. */
public final class UnreadableOrderRecordException extends FoxtailridgeException {
    /** Creates the failure for a record of a newer format. */
    public UnreadableOrderRecordException(int expectedFormat, int actualFormat) {
        super(
                ErrorKind.INCOMPATIBLE_VERSION,
                "expected an order record of format "
                        + expectedFormat
                        + " or lower but was format "
                        + actualFormat);
    }

    /** Creates the failure for a record that is no valid order record. */
    public UnreadableOrderRecordException(String reason) {
        super(ErrorKind.INCOMPATIBLE_VERSION, "expected an order record but " + reason);
    }
}
