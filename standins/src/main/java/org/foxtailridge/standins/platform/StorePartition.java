package org.foxtailridge.standins.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** One partition of a topic: numbered records of which the oldest expire. */
final class StorePartition {
    private static final int UNSIGNED_BYTE = 0xff;

    private final boolean mKeyed;
    private final Duration mRetention;
    private final Deque<Stored> mRecords = new ArrayDeque<>();
    private final TreeMap<String, Newest> mNewest = new TreeMap<>();
    private final Map<String, ProducerHistory> mProducers = new HashMap<>();
    private long mFirst;
    private long mEnd;

    StorePartition(boolean keyed, Duration retention) {
        mKeyed = keyed;
        mRetention = retention;
    }

    /** Returns the offset of the next record. */
    long end() {
        return mEnd;
    }

    /** Returns the offset of the oldest record that is kept. */
    long first() {
        return mFirst;
    }

    /**
     * Appends all records or none.
     *
     * @param records what to append; nothing only sets the producer's epoch
     * @param expectedEnd where the partition must end; empty for anywhere
     * @param stamp producer, epoch and sequence number; empty for none
     * @param now instant of the append
     */
    AppendOutcome append(
            List<byte[]> records,
            OptionalLong expectedEnd,
            Optional<ProducerStamp> stamp,
            Instant now) {
        if (stamp.isPresent()) {
            Optional<AppendOutcome> known = check(stamp.get(), records.isEmpty());
            if (known.isPresent()) {
                return known.get();
            }
        }
        if (expectedEnd.isPresent() && expectedEnd.getAsLong() != mEnd) {
            return new AppendOutcome.OtherEnd(mEnd);
        }
        long offset = mEnd;
        for (byte[] record : records) {
            mRecords.add(new Stored(record, now));
            noteNewest(record, mEnd);
            mEnd++;
        }
        AppendOutcome.Appended appended = new AppendOutcome.Appended(offset, mEnd);
        stamp.ifPresent(by -> history(by).appended(by, appended, records.isEmpty()));
        return appended;
    }

    /** Returns the records from an offset on; empty when the first of them has been deleted. */
    Optional<List<byte[]>> read(long from, int maximumBytes) {
        if (from < mFirst) {
            return Optional.empty();
        }
        List<byte[]> found = new ArrayList<>();
        long offset = mFirst;
        int bytes = 0;
        for (Stored stored : mRecords) {
            boolean fits = found.isEmpty() || bytes + stored.content().length <= maximumBytes;
            if (offset >= from && fits) {
                found.add(stored.content());
                bytes += stored.content().length;
            }
            offset++;
        }
        return Optional.of(found);
    }

    /** Returns the newest record of each key behind a key, in the order of keys. */
    List<Map.Entry<String, Newest>> newestAfter(String key) {
        return List.copyOf(mNewest.tailMap(key, false).entrySet());
    }

    /** Deletes the records before an offset. */
    void trim(long before) {
        while (mFirst < before && !mRecords.isEmpty()) {
            mRecords.remove();
            mFirst++;
        }
    }

    /** Deletes what is older than the retention. */
    void expire(Instant now) {
        while (!mRecords.isEmpty() && mRecords.peek().since().plus(mRetention).isBefore(now)) {
            mRecords.remove();
            mFirst++;
        }
    }

    private Optional<AppendOutcome> check(ProducerStamp stamp, boolean empty) {
        return history(stamp).check(stamp, empty);
    }

    private ProducerHistory history(ProducerStamp stamp) {
        return mProducers.computeIfAbsent(stamp.producer(), name -> new ProducerHistory());
    }

    private void noteNewest(byte[] record, long offset) {
        if (!mKeyed || record.length == 0) {
            return;
        }
        int keyLength = record[0] & UNSIGNED_BYTE;
        if (record.length < 1 + keyLength) {
            return;
        }
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        int valueLength = record.length - 1 - keyLength;
        if (valueLength == 0) {
            mNewest.remove(key);
            return;
        }
        byte[] value = new byte[valueLength];
        System.arraycopy(record, 1 + keyLength, value, 0, valueLength);
        mNewest.put(key, new Newest(value, offset));
    }

    private record Stored(byte[] content, Instant since) {}

    /**
     * Newest record of a key.
     *
     * @param value its value
     * @param offset its offset
     */
    record Newest(byte[] value, long offset) {}
}
