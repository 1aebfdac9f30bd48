package org.foxtailridge.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StorePartitionTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration RETENTION = Duration.ofSeconds(20);

    private final StorePartition mPartition = new StorePartition(false, RETENTION);

    @ParameterizedTest(name = "at {0} ends as {1}")
    @CsvSource({"2, appended", "1, other end", "3, other end"})
    void should_append_at_an_offset_only_where_it_ends_there(long at, String expected) {
        // GIVEN
        append("first", "second");
        // WHEN
        AppendOutcome outcome =
                mPartition.append(records("third"), OptionalLong.of(at), Optional.empty(), NOW);
        // THEN
        assertThat(outcome)
                .isEqualTo(
                        expected.equals("appended")
                                ? new AppendOutcome.Appended(2, 3)
                                : new AppendOutcome.OtherEnd(2));
        assertThat(mPartition.end()).isEqualTo(expected.equals("appended") ? 3 : 2);
    }

    @Test
    void should_give_a_repeated_append_its_first_answer() {
        // GIVEN
        AppendOutcome first = stamped(7, 41, "first");
        stamped(7, 42, "second");
        // WHEN
        AppendOutcome repeated = stamped(7, 41, "first");
        // THEN
        assertThat(repeated).isEqualTo(first);
        assertThat(mPartition.end()).isEqualTo(2);
    }

    @Test
    void should_name_the_expected_number_when_one_is_left_out() {
        // GIVEN
        stamped(7, 41, "first");
        // WHEN
        AppendOutcome outcome = stamped(7, 43, "third");
        // THEN
        assertThat(outcome).isEqualTo(new AppendOutcome.OutOfSequence(42));
    }

    @Test
    void should_fence_a_former_producer_once_an_empty_append_has_set_the_epoch() {
        // GIVEN
        stamped(7, 41, "first");
        AppendOutcome empty =
                mPartition.append(
                        List.of(),
                        OptionalLong.empty(),
                        Optional.of(new ProducerStamp("w", 8, 0)),
                        NOW);
        // WHEN
        AppendOutcome former = stamped(7, 42, "second");
        AppendOutcome current = stamped(8, 5, "of the new epoch");
        // THEN
        assertThat(empty).isEqualTo(new AppendOutcome.Appended(1, 1));
        assertThat(former).isEqualTo(new AppendOutcome.Fenced());
        assertThat(current).isEqualTo(new AppendOutcome.Appended(1, 2));
    }

    @Test
    void should_keep_the_newest_of_each_key_when_records_expire() {
        // GIVEN
        StorePartition keyed = new StorePartition(true, RETENTION);
        keyed.append(
                List.of(keyed("a", "1"), keyed("b", "1"), keyed("a", "2"), keyed("b", "")),
                OptionalLong.empty(),
                Optional.empty(),
                NOW);
        // WHEN
        keyed.expire(NOW.plus(RETENTION).plusMillis(1));
        // THEN
        assertThat(keyed.read(0, 1_000)).isEmpty();
        assertThat(keyed.first()).isEqualTo(4);
        assertThat(keyed.newestAfter("")).hasSize(1);
        Map.Entry<String, StorePartition.Newest> newest = keyed.newestAfter("").get(0);
        assertThat(newest.getKey()).isEqualTo("a");
        assertThat(newest.getValue().value()).asString().isEqualTo("2");
        assertThat(newest.getValue().offset()).isEqualTo(2);
    }

    @Test
    void should_read_at_least_one_record_and_no_more_than_fit() {
        // GIVEN
        append("0123456789", "0123456789", "0123456789");
        // WHEN
        int few = mPartition.read(0, 1).orElseThrow().size();
        int more = mPartition.read(1, 20).orElseThrow().size();
        // THEN
        assertThat(few).isEqualTo(1);
        assertThat(more).isEqualTo(2);
    }

    private void append(String... texts) {
        mPartition.append(records(texts), OptionalLong.empty(), Optional.empty(), NOW);
    }

    private AppendOutcome stamped(long epoch, long sequence, String text) {
        return mPartition.append(
                records(text),
                OptionalLong.empty(),
                Optional.of(new ProducerStamp("w", epoch, sequence)),
                NOW);
    }

    private static List<byte[]> records(String... texts) {
        return List.of(texts).stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toList();
    }

    private static byte[] keyed(String key, String value) {
        return ((char) key.length() + key + value).getBytes(StandardCharsets.UTF_8);
    }
}
