package org.foxtailridge.configuration.follow;

import java.util.Objects;

/**
 * One record as the log holds it.
 *
 * @param offset offset in the stream
 * @param payload payload
 */
public record LogRecord(long offset, String payload) {
    /** Checks that no part is missing. */
    public LogRecord {
        Objects.requireNonNull(payload, "payload");
    }
}
