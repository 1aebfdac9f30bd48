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

/** Codec of snapshots: a protobuf message compressed with deflate. */
final class SnapshotBytes {
    private SnapshotBytes() {}

    static byte[] encode(Map<String, byte[]> values) {
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
     * Decodes a snapshot into one record per key.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a compressed snapshot
     */
    static List<KeyedRecord> decode(byte[] bytes) throws InvalidProtocolBufferException {
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
