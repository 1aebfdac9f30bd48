package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when a required header of a request is missing or malformed. */
public final class MalformedHeadException extends FoxtailridgeException {
    private static final long serialVersionUID = 1;

    /** Creates an exception that names the header and the value expected in it. */
    public MalformedHeadException(String header, String expected) {
        super(ErrorKind.MALFORMED_REQUEST, "expected " + expected + " in header " + header);
    }
}
