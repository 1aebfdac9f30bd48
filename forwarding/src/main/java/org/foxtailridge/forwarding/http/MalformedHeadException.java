package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A header of a request can't be read. */
public final class MalformedHeadException extends FoxtailridgeException {
    private static final long serialVersionUID = 1;

    /** Creates a failure that names the header. */
    public MalformedHeadException(String header, String expected) {
        super(ErrorKind.MALFORMED_REQUEST, "expected " + expected + " in header " + header);
    }
}
