package org.foxtailridge.standins.log;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The retained records of one stream. Used by one thread. */
final class LogStream {
    private final int mRetainedRecords;
    private final Duration mRetention;
    private final NavigableMap<Long, LogRecord> mRecords = new TreeMap<>();
    private long mNext;

    LogStream(int retainedRecords, Duration retention) {
        mRetainedRecords = retainedRecords;
        mRetention = retention;
    }

    /** Appends payloads at consecutive offsets and returns the first of them. */
    long append(List<String> payloads, Instant now) {
        long first = mNext;
        for (String payload : payloads) {
            mRecords.put(mNext, new LogRecord(mNext, now.toEpochMilli(), payload));
            mNext++;
        }
        expire(now);
        return first;
    }

    /** Returns the records from an offset on, at most as many as the limit. */
    LogMessages.Page read(long from, int limit, Instant now) {
        expire(now);
        List<LogRecord> page = mRecords.tailMap(from, true).values().stream().limit(limit).toList();
        long end = page.isEmpty() ? Math.max(from, firstRetained()) : nextAfter(page);
        return new LogMessages.Page(firstRetained(), Math.min(end, mNext), page);
    }

    boolean hasRecordAt(long from) {
        return from < mNext;
    }

    private static long nextAfter(List<LogRecord> page) {
        return page.get(page.size() - 1).offset() + 1;
    }

    private long firstRetained() {
        return mRecords.isEmpty() ? mNext : mRecords.firstKey();
    }

    private void expire(Instant now) {
        long oldest = now.minus(mRetention).toEpochMilli();
        while (!mRecords.isEmpty()) {
            boolean tooMany = mRecords.size() > mRetainedRecords;
            boolean tooOld = mRecords.firstEntry().getValue().timeMs() < oldest;
            if (!tooMany && !tooOld) {
                return;
            }
            mRecords.pollFirstEntry();
        }
    }
}
