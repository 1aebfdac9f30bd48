package org.foxtailridge.node.caller;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A completion could not be answered whole. */
final class CompletionFailedException extends FoxtailridgeException {
    private CompletionFailedException(ErrorKind kind, String message) {
        super(kind, message);
    }

    static CompletionFailedException beforeFirstToken(String endpoint, String reason) {
        return new CompletionFailedException(
                ErrorKind.ENDPOINT_FAILED,
                "expected an answer from endpoint " + endpoint + " but was " + reason);
    }

    static CompletionFailedException midway(int tokens, String reason) {
        return new CompletionFailedException(
                ErrorKind.STREAM_BROKEN,
                "expected the whole answer but it broke off after "
                        + tokens
                        + " tokens: "
                        + reason);
    }

    static CompletionFailedException keyWithdrawn(boolean ran) {
        return new CompletionFailedException(
                ran ? ErrorKind.KEY_WITHDRAWN : ErrorKind.KEY_REFUSED,
                "the key was withdrawn while the request ran");
    }
}
