package org.foxtailridge.forwarding.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Newest value of each key of a stream up to an offset that never decreases: older batches and
 * snapshots are ignored.
 */
final class StreamState {
    private final Map<String, byte[]> mValues = new LinkedHashMap<>();
    private long mNextOffset = -1;

    boolean isEmpty() {
        return mNextOffset < 0;
    }

    /** Returns the offset of the next record to read; -1 before the first batch. */
    long nextOffset() {
        return mNextOffset;
    }

    Map<String, byte[]> values() {
        return Collections.unmodifiableMap(mValues);
    }

    /** Applies the records that follow; returns the newest record of each key among them. */
    List<KeyedRecord> apply(KeyedBatch batch) {
        if (batch.nextOffset() <= mNextOffset) {
            return List.of();
        }
        mNextOffset = batch.nextOffset();
        Map<String, KeyedRecord> changed = new LinkedHashMap<>();
        for (KeyedRecord entry : batch.records()) {
            put(entry);
            changed.remove(entry.key());
            changed.put(entry.key(), entry);
        }
        return List.copyOf(changed.values());
    }

    /**
     * Replaces the state by a snapshot; returns the records that turn the old state into the new
     * one, with a tombstone for each key that is missing from the snapshot.
     */
    List<KeyedRecord> replace(KeyedBatch snapshot) {
        if (snapshot.nextOffset() < mNextOffset) {
            return List.of();
        }
        mNextOffset = snapshot.nextOffset();
        Map<String, KeyedRecord> removed = new LinkedHashMap<>();
        mValues.keySet().forEach(key -> removed.put(key, KeyedRecord.tombstone(key)));
        snapshot.records().forEach(entry -> removed.remove(entry.key()));
        List<KeyedRecord> changed = new ArrayList<>(snapshot.records());
        changed.addAll(removed.values());
        changed.forEach(this::put);
        return changed;
    }

    private void put(KeyedRecord entry) {
        if (entry.value().isPresent()) {
            mValues.put(entry.key(), entry.value().get());
        } else {
            mValues.remove(entry.key());
        }
    }
}
