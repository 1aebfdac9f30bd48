package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.CallerLimits;

/** Takes the requests of callers. */
public interface CallerHandler {
    /** A request has come whole. */
    void handle(CallerExchange exchange);

    /** Returns what a caller may send now. */
    CallerLimits limits();

    /** Returns whether connections are to be closed after the answer under way. */
    boolean isStopping();

    /** A request was refused before it was a request. */
    void refused(ErrorKind kind, String reason);
}
