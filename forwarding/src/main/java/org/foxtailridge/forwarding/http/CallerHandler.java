package org.foxtailridge.forwarding.http;

import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.forwarding.configuration.CallerLimits;

/** Handler of the requests that callers send. All methods run on the event loop. */
public interface CallerHandler {
    /** Handles a request whose body is complete. */
    void handle(CallerExchange exchange);

    /** Returns the current limits for size and time of a caller's requests. */
    CallerLimits limits();

    /** Returns whether connections close after the answer in flight. */
    boolean isStopping();

    /** Records that the connection refuses a request before it is complete. */
    void refused(ErrorKind kind, String reason);
}
