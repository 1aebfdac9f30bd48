package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;
import org.foxtailridge.forwarding.endpoint.EndpointAddress;
import org.foxtailridge.forwarding.request.AttemptFailure;

/** Thrown when a call got no complete answer. */
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

    /** Returns whether the call was not sent, got no answer in time, or broke. */
    public AttemptFailure failure() {
        return mFailure;
    }
}
