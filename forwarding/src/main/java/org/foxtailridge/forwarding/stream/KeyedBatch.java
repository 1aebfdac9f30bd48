package org.foxtailridge.forwarding.stream;

import java.util.List;

/**
 * Records of a keyed stream in the order of their offsets.
 *
 * @param records the records
 * @param nextOffset offset of the first record that is not included
 */
public record KeyedBatch(List<KeyedRecord> records, long nextOffset) {
    /** Copies the list. */
    public KeyedBatch {
        records = List.copyOf(records);
    }
}
