package org.foxtailridge.membership.lease;

import java.util.List;

/**
 * Answer of the log to a read of the stream {@code leases}.
 *
 * @param firstRetained offset of the oldest record that the log still retains
 * @param next offset of the next record to be appended
 * @param records records with consecutive offsets; empty when there was none to read
 */
public record LeaseLogAnswer(long firstRetained, long next, List<LeaseLogRecord> records) {
    /** Copies the records. */
    public LeaseLogAnswer {
        records = List.copyOf(records);
    }
}
