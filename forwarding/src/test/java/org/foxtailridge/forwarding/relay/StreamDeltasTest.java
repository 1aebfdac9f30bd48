package org.foxtailridge.forwarding.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.forwarding.stream.KeyedBatch;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.protocol.relay.StreamDelta;
import org.foxtailridge.protocol.relay.StreamPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages that exceed a datagram, and against gaps between their offsets. */
class StreamDeltasTest {
    private static final StreamPosition POSITION = StreamPosition.getDefaultInstance();
    private static final int MAXIMUM_BYTES = 1_200;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4, 50})
    void should_split_a_batch_into_messages_that_continue_each_other(int count) {
        // GIVEN
        List<KeyedRecord> records = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            records.add(KeyedRecord.of("key-" + number, new byte[350]));
        }

        // WHEN
        List<StreamDelta> deltas =
                StreamDeltas.split(POSITION, 7, new KeyedBatch(records, 7 + count), MAXIMUM_BYTES);

        // THEN
        long offset = 7;
        for (StreamDelta delta : deltas) {
            assertThat(delta.getSerializedSize()).isLessThan(MAXIMUM_BYTES + 100);
            assertThat(delta.getFromOffset()).isEqualTo(offset);
            assertThat(delta.getNextOffset()).isEqualTo(offset + delta.getRecordsCount());
            offset = delta.getNextOffset();
        }
        assertThat(offset).isEqualTo(7 + count);
    }

    @Test
    void should_not_split_a_batch_whose_offsets_have_gaps() {
        // GIVEN
        KeyedRecord large = KeyedRecord.of("key", new byte[1_000]);

        // WHEN
        List<StreamDelta> deltas =
                StreamDeltas.split(
                        POSITION, 0, new KeyedBatch(List.of(large, large), 9), MAXIMUM_BYTES);

        // THEN
        assertThat(deltas).hasSize(1);
        assertThat(deltas.get(0).getNextOffset()).isEqualTo(9);
    }

    @Test
    void should_keep_removed_keys() {
        // GIVEN
        KeyedBatch batch = new KeyedBatch(List.of(KeyedRecord.tombstone("gone")), 1);

        // WHEN
        StreamDelta delta = StreamDeltas.split(POSITION, 0, batch, MAXIMUM_BYTES).get(0);

        // THEN
        assertThat(StreamDeltas.batchOf(delta).records().get(0).value()).isEmpty();
    }
}
