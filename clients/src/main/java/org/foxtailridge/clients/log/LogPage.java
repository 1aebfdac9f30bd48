package org.foxtailridge.clients.log;

import java.util.List;

/**
 * Consecutive records of a stream.
 *
 * @param firstRetained lowest offset that the log still holds
 * @param next offset that the next appended payload will get
 * @param records records in order of their offsets
 */
public record LogPage(long firstRetained, long next, List<LogRecord> records) {
    /** Copies the list. */
    public LogPage {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
