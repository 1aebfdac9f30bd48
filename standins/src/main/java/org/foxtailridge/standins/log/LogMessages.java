package org.foxtailridge.standins.log;

import java.util.List;

/** Bodies of the log service's calls. */
final class LogMessages {
    private LogMessages() {}

    record Append(List<String> payloads) {}

    record Appended(long firstOffset, int count) {}

    record Page(long firstRetained, long next, List<LogRecord> records) {}
}
