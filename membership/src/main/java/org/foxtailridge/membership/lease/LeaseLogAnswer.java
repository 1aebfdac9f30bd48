package org.foxtailridge.membership.lease;

import java.util.List;

/**
 * Answer of the log to a read.
 *
 * @param firstRetained offset of the first record that the log still holds
 * @param next offset that the next record will get
 * @param records records with consecutive offsets
 */
public record LeaseLogAnswer(long firstRetained, long next, List<LeaseLogRecord> records) {
    /** Copies the list. */
    public LeaseLogAnswer {
        records = List.copyOf(records);
    }
}
