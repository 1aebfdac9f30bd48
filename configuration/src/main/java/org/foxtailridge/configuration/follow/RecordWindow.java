package org.foxtailridge.configuration.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.foxtailridge.protocol.configuration.RelayedRecord;

/** The latest records with consecutive offsets, bounded in number and bytes. */
final class RecordWindow {
    private final int mMaximumRecords;
    private final long mMaximumBytes;
    private final Deque<RelayedRecord> mRecords = new ArrayDeque<>();
    private long mFirst;
    private long mBytes;

    RecordWindow(int maximumRecords, long maximumBytes) {
        mMaximumRecords = maximumRecords;
        mMaximumBytes = maximumBytes;
    }

    /** Returns the offset of the first record kept; that after the last one when there is none. */
    long first() {
        return mFirst;
    }

    void restartAt(long offset) {
        mRecords.clear();
        mBytes = 0;
        mFirst = offset;
    }

    void add(RelayedRecord record) {
        mRecords.addLast(record);
        mBytes += record.getSerializedSize();
        while (mRecords.size() > mMaximumRecords || mBytes > mMaximumBytes) {
            mBytes -= mRecords.removeFirst().getSerializedSize();
            mFirst++;
        }
    }

    /** Returns records from an offset on, at least one if there is any, within the bytes given. */
    List<RelayedRecord> from(long offset, int maximumBytes) {
        List<RelayedRecord> records = new ArrayList<>();
        long bytes = 0;
        long current = mFirst;
        for (RelayedRecord record : mRecords) {
            if (current++ < offset) {
                continue;
            }
            bytes += record.getSerializedSize();
            if (bytes > maximumBytes && !records.isEmpty()) {
                break;
            }
            records.add(record);
        }
        return records;
    }
}
