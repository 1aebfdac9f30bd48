package org.foxtailridge.standins.server;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when a stand-in can't listen on its port. */
public final class ServerStartException extends FoxtailridgeException {
    /**
     * Creates the failure.
     *
     * @param port port that was asked for; 0 stands for any
     * @param cause what the server reported
     */
    public ServerStartException(int port, Throwable cause) {
        super(
                ErrorKind.INTERNAL,
                "expected to listen on port " + port + " but was refused: " + cause.getMessage());
        initCause(cause);
    }
}
