package org.foxtailridge.forwarding.stream;

import java.util.List;

/**
 * Records of a keyed stream in the order of their offsets.
 *
 * @param records records in ascending order of their offsets; copied
 * @param nextOffset offset after the last record: the first that is not included
 */
public record KeyedBatch(List<KeyedRecord> records, long nextOffset) {
    /** Creates a batch with a copy of the list. */
    public KeyedBatch {
        records = List.copyOf(records);
    }
}
