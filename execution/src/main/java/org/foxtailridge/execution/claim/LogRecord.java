package org.foxtailridge.execution.claim;

import java.util.Objects;

/**
 * A record of the stream {@code claims} as it was read.
 *
 * @param offset position in the stream
 * @param timeMilliseconds instant at which the log stored it, by the log's clock
 * @param payload JSON object
 */
public record LogRecord(long offset, long timeMilliseconds, String payload) {
    /** Checks that the payload is given. */
    public LogRecord {
        Objects.requireNonNull(payload, "payload");
    }
}
