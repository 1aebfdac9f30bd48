package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.error.FoxtailridgeException;

/** Keyed log in memory that can be made unavailable and can delete superseded records. */
public final class FakeLog implements KeyedLog {
    private final List<KeyedRecord> mRecords = new ArrayList<>();
    private int mFirstOffset;
    private boolean mUnavailable;

    /** Appends a record. */
    public void append(KeyedRecord entry) {
        mRecords.add(entry);
    }

    /** Deletes all records but the newest of each key. */
    public void compact() {
        mFirstOffset = mRecords.size();
    }

    /** Sets whether reads fail; {@link #put} always succeeds. */
    public void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    @Override
    public CompletableFuture<KeyedBatch> newest(KeyedStream stream) {
        if (mUnavailable) {
            return unavailable();
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
        if (mUnavailable) {
            return unavailable();
        }
        if (from < mFirstOffset) {
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

    private static CompletableFuture<KeyedBatch> unavailable() {
        return CompletableFuture.failedFuture(
                new FoxtailridgeException(ErrorKind.LOG_UNAVAILABLE, "the log is unavailable"));
    }
}
