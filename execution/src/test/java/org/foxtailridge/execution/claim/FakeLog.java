package org.foxtailridge.execution.claim;

import java.util.ArrayList;
import java.util.List;

/** The stream {@code claims}, in memory. */
final class FakeLog {
    private final List<LogRecord> mRecords = new ArrayList<>();

    void append(List<String> payloads, long nowMilliseconds) {
        for (String payload : payloads) {
            mRecords.add(new LogRecord(mRecords.size(), nowMilliseconds, payload));
        }
    }

    List<LogRecord> read(long from, int limit) {
        int first = (int) Math.min(from, mRecords.size());
        return List.copyOf(
                mRecords.subList(first, (int) Math.min(mRecords.size(), (long) first + limit)));
    }
}
