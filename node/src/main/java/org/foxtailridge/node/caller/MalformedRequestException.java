package org.foxtailridge.node.caller;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A request can't be parsed or holds a value out of range. */
final class MalformedRequestException extends FoxtailridgeException {
    private MalformedRequestException(String message) {
        super(ErrorKind.MALFORMED_REQUEST, message);
    }

    static MalformedRequestException notJson() {
        return new MalformedRequestException(
                "expected a JSON object in UTF-8 but could not read it");
    }

    static MalformedRequestException badField(String field, String expected) {
        return new MalformedRequestException("expected field " + field + " to be " + expected);
    }

    static MalformedRequestException badHeader(String header, String expected) {
        return new MalformedRequestException("expected header " + header + " to be " + expected);
    }
}
