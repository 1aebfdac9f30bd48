package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;

/** A call got no whole answer. */
public final class CallFailedException extends FoxtailridgeException {
    private static final long serialVersionUID = 1;

    private final AttemptFailure mFailure;

    CallFailedException(
            EndpointAddress address, String target, AttemptFailure failure, String reason) {
        super(
                failure == AttemptFailure.SILENT
                        ? ErrorKind.ANSWER_TIMEOUT
                        : ErrorKind.ENDPOINT_FAILED,
                "call of " + target + " at " + address + " failed: " + reason);
        mFailure = failure;
    }

    /** Returns how it failed. */
    public AttemptFailure failure() {
        return mFailure;
    }
}
