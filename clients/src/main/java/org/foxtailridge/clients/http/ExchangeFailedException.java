package org.foxtailridge.clients.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** An outside system gave no answer. */
public final class ExchangeFailedException extends FoxtailridgeException {
    private final boolean mMayHaveArrived;

    /**
     * Creates the failure.
     *
     * @param address resource that was asked
     * @param mayHaveArrived whether any byte may have reached the other side
     * @param cause what the HTTP client reported
     */
    public ExchangeFailedException(String address, boolean mayHaveArrived, Throwable cause) {
        super(
                ErrorKind.ENDPOINT_FAILED,
                "expected an answer from " + address + " but was " + cause.getMessage());
        mMayHaveArrived = mayHaveArrived;
        initCause(cause);
    }

    /** Returns whether any byte of the request may have reached the other side. */
    public boolean mayHaveArrived() {
        return mMayHaveArrived;
    }
}
