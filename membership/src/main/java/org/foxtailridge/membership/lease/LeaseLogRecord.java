package org.foxtailridge.membership.lease;

import java.util.Objects;

/**
 * One record of the stream {@code leases}, as read from the log.
 *
 * @param offset offset in the stream
 * @param timeMs log time of the append, in milliseconds since the epoch
 * @param payload JSON text of a {@link LeaseRecord}
 */
public record LeaseLogRecord(long offset, long timeMs, String payload) {
    /** Rejects a null payload. */
    public LeaseLogRecord {
        Objects.requireNonNull(payload, "payload");
    }
}
