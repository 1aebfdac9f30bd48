package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** A keyed log in memory that can be away and forget its history. */
public final class FakeLog implements KeyedLog {
    private final List<KeyedRecord> mRecords = new ArrayList<>();
    private int mFirst;
    private boolean mAway;

    /** Appends a record. */
    public void append(KeyedRecord entry) {
        mRecords.add(entry);
    }

    /** Deletes all records but the newest of each key. */
    public void forget() {
        mFirst = mRecords.size();
    }

    /** Sets whether calls fail. */
    public void away(boolean away) {
        mAway = away;
    }

    @Override
    public CompletableFuture<KeyedBatch> newest(KeyedStream stream) {
        if (mAway) {
            return failure();
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        for (KeyedRecord entry : mRecords) {
            newest.remove(entry.key());
            if (entry.value().isPresent()) {
                newest.put(entry.key(), entry);
            }
        }
        return CompletableFuture.completedFuture(
                new KeyedBatch(List.copyOf(newest.values()), mRecords.size()));
    }

    @Override
    public CompletableFuture<KeyedBatch> read(KeyedStream stream, long from, Duration wait) {
        if (mAway) {
            return failure();
        }
        if (from < mFirst) {
            return CompletableFuture.failedFuture(new RecordsDeletedException(stream, from));
        }
        return CompletableFuture.completedFuture(
                new KeyedBatch(mRecords.subList((int) from, mRecords.size()), mRecords.size()));
    }

    @Override
    public CompletableFuture<Void> put(KeyedStream stream, KeyedRecord entry) {
        append(entry);
        return CompletableFuture.completedFuture(null);
    }

    private static CompletableFuture<KeyedBatch> failure() {
        return CompletableFuture.failedFuture(
                new FoxtailridgeException(ErrorKind.LOG_UNAVAILABLE, "away"));
    }
}
