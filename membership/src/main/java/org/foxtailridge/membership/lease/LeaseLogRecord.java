package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * One record as the log holds it.
 *
 * @param offset offset in the stream
 * @param timeMs time of the log at the append, in milliseconds
 * @param payload payload
 */
public record LeaseLogRecord(long offset, long timeMs, String payload) {
    /** Checks that no part is missing. */
    public LeaseLogRecord {
        Objects.requireNonNull(payload, "payload");
    }
}
