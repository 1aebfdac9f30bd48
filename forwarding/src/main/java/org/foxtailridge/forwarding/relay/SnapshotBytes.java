package org.foxtailridge.forwarding.relay;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.protocol.relay.Snapshot;
import org.foxtailridge.protocol.relay.SnapshotRecord;

/** Compressed bytes of a snapshot. */
final class SnapshotBytes {
    private SnapshotBytes() {}

    static byte[] write(Map<String, byte[]> values) {
        Snapshot.Builder snapshot = Snapshot.newBuilder();
        values.forEach(
                (key, value) ->
                        snapshot.addRecords(
                                SnapshotRecord.newBuilder()
                                        .setKey(key)
                                        .setValue(ByteString.copyFrom(value))));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            snapshot.build().writeTo(deflater);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads a snapshot.
     *
     * @throws InvalidProtocolBufferException if the bytes are no snapshot
     */
    static List<KeyedRecord> read(byte[] bytes) throws InvalidProtocolBufferException {
        try (InflaterInputStream inflater =
                new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            return Snapshot.parseFrom(inflater).getRecordsList().stream()
                    .map(entry -> KeyedRecord.of(entry.getKey(), entry.getValue().toByteArray()))
                    .toList();
        } catch (InvalidProtocolBufferException unreadable) {
            throw unreadable;
        } catch (IOException unreadable) {
            throw new InvalidProtocolBufferException(unreadable);
        }
    }
}
