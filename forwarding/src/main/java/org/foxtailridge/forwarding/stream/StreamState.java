package org.foxtailridge.forwarding.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The newest record of each key of a stream, as far as it was read. Never goes back. */
final class StreamState {
    private final Map<String, byte[]> mValues = new LinkedHashMap<>();
    private long mNextOffset = -1;

    boolean isEmpty() {
        return mNextOffset < 0;
    }

    /** Returns the offset of the next record to read; -1 when nothing was read. */
    long nextOffset() {
        return mNextOffset;
    }

    Map<String, byte[]> values() {
        return Collections.unmodifiableMap(mValues);
    }

    /** Applies records that follow; returns those that changed something. */
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
     * Replaces everything by a snapshot; returns the records that lead from the old state to it.
     */
    List<KeyedRecord> replace(KeyedBatch snapshot) {
        if (snapshot.nextOffset() < mNextOffset) {
            return List.of();
        }
        mNextOffset = snapshot.nextOffset();
        Map<String, KeyedRecord> missing = new LinkedHashMap<>();
        mValues.keySet().forEach(key -> missing.put(key, KeyedRecord.tombstone(key)));
        snapshot.records().forEach(entry -> missing.remove(entry.key()));
        List<KeyedRecord> changed = new ArrayList<>(snapshot.records());
        changed.addAll(missing.values());
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
