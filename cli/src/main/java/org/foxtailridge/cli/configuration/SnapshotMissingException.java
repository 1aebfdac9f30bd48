package org.foxtailridge.cli.configuration;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Thrown when the log no longer holds the first records and no snapshot stands for them. */
public final class SnapshotMissingException extends FoxtailridgeException {
    SnapshotMissingException(long firstRetained) {
        super(
                ErrorKind.LOG_UNAVAILABLE,
                "expected a snapshot of the records before offset "
                        + firstRetained
                        + " but was none; wait until a node has appended one");
    }
}
