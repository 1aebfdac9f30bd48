package org.foxtailridge.node.caller;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A completion could not be answered whole. */
final class CompletionFailedException extends FoxtailridgeException {
    private CompletionFailedException(ErrorKind kind, String message) {
        super(kind, message);
    }

    /** Returns the failure of a kind after a number of tokens. */
    static CompletionFailedException of(ErrorKind kind, int tokens) {
        return new CompletionFailedException(
                kind, "expected the whole answer but it broke off after " + tokens + " tokens");
    }

    /** Returns the failure of a call of a plain service. */
    static CompletionFailedException ofService(ErrorKind kind, String service) {
        return new CompletionFailedException(
                kind, "expected an answer of service " + service + " but no attempt gave one");
    }

    static CompletionFailedException keyWithdrawn(boolean ran) {
        return new CompletionFailedException(
                ran ? ErrorKind.KEY_WITHDRAWN : ErrorKind.KEY_REFUSED,
                "the key was withdrawn while the request ran");
    }
}
