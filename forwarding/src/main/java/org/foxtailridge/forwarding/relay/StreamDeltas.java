package org.foxtailridge.forwarding.relay;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailridge.forwarding.stream.KeyedBatch;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.protocol.relay.ChangedRecord;
import org.foxtailridge.protocol.relay.StreamDelta;
import org.foxtailridge.protocol.relay.StreamPosition;

/** Conversion between batches of records and the messages that carry them. */
final class StreamDeltas {
    private StreamDeltas() {}

    /**
     * Splits a batch into messages of a limited size; a record that is larger has a message of its
     * own. A batch with gaps between its offsets becomes one message.
     */
    static List<StreamDelta> split(
            StreamPosition position, long fromOffset, KeyedBatch batch, int maximumBytes) {
        boolean contiguous = batch.records().size() == batch.nextOffset() - fromOffset;
        List<StreamDelta> deltas = new ArrayList<>();
        StreamDelta.Builder delta = startAt(position, fromOffset);
        long offset = fromOffset;
        int bytes = 0;
        for (KeyedRecord entry : batch.records()) {
            ChangedRecord changed = toMessage(entry);
            if (contiguous && bytes > 0 && bytes + changed.getSerializedSize() > maximumBytes) {
                deltas.add(delta.setNextOffset(offset).build());
                delta = startAt(position, offset);
                bytes = 0;
            }
            delta.addRecords(changed);
            bytes += changed.getSerializedSize();
            offset++;
        }
        deltas.add(delta.setNextOffset(batch.nextOffset()).build());
        return deltas;
    }

    static KeyedBatch batchOf(StreamDelta delta) {
        List<KeyedRecord> records =
                delta.getRecordsList().stream().map(StreamDeltas::toRecord).toList();
        return new KeyedBatch(records, delta.getNextOffset());
    }

    private static StreamDelta.Builder startAt(StreamPosition position, long offset) {
        return StreamDelta.newBuilder()
                .setStream(position.getStream())
                .setFromOffset(offset)
                .setConfirmedAgeMs(position.getConfirmedAgeMs());
    }

    private static ChangedRecord toMessage(KeyedRecord entry) {
        ChangedRecord.Builder changed = ChangedRecord.newBuilder().setKey(entry.key());
        Optional<byte[]> value = entry.value();
        value.ifPresent(bytes -> changed.setValue(ByteString.copyFrom(bytes)));
        return changed.build();
    }

    private static KeyedRecord toRecord(ChangedRecord changed) {
        return changed.hasValue()
                ? KeyedRecord.of(changed.getKey(), changed.getValue().toByteArray())
                : KeyedRecord.tombstone(changed.getKey());
    }
}
