package org.foxtailridge.cli.quickstart;

import java.time.Duration;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when a node of the quickstart does not serve in time. */
public final class SystemNotReadyException extends FoxtailridgeException {
    SystemNotReadyException(String node, Duration timeout) {
        super(
                ErrorKind.NOT_READY,
                "expected an answer of "
                        + node
                        + " within "
                        + timeout.toSeconds()
                        + " s but was none");
    }
}
