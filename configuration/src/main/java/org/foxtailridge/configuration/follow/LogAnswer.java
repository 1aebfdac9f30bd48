package org.foxtailridge.configuration.follow;

import java.util.List;

/**
 * Answer of the log to a read.
 *
 * @param firstRetained offset of the first record that the log still holds
 * @param next offset that the next record will get
 * @param records records with consecutive offsets, from the one wanted or the first retained on
 */
public record LogAnswer(long firstRetained, long next, List<LogRecord> records) {
    /** Copies the list. */
    public LogAnswer {
        records = List.copyOf(records);
    }
}
