package org.foxtailridge.forwarding.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against removing live endpoints whose announcements expired during an outage of the log,
 * and against old or unreadable records that bring back a draining endpoint.
 */
class AnnouncedEndpointsTest {
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(100));
    private final List<String> mEvents = new ArrayList<>();
    private int mBatches;
    private final AnnouncedEndpoints mEndpoints =
            new AnnouncedEndpoints(
                    AnnouncedEndpointsTest::decode,
                    Duration.ofSeconds(2),
                    mClock,
                    new EndpointListener() {
                        @Override
                        public void announced(
                                Optional<EndpointAnnouncement> former,
                                EndpointAnnouncement current) {
                            mEvents.add((current.draining() ? "drains " : "up ") + current.id());
                        }

                        @Override
                        public void gone(EndpointAnnouncement former) {
                            mEvents.add("gone " + former.id());
                        }

                        @Override
                        public void batchApplied() {
                            mBatches++;
                        }
                    });

    @Test
    void should_remove_an_endpoint_at_once_while_reads_of_the_log_succeed() {
        // GIVEN
        write("a", "1 1 ready");

        // WHEN
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));

        // THEN
        assertThat(mEvents).containsExactly("up a", "gone a");
    }

    @Test
    void should_keep_an_endpoint_whose_announcement_expired_during_a_log_outage() {
        // GIVEN
        write("a", "1 1 ready");
        mEndpoints.logUnavailable();
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));

        // WHEN
        mClock.advance(Duration.ofMillis(1_500));
        mEndpoints.tick();
        write("a", "1 2 ready");
        mClock.advance(Duration.ofSeconds(5));
        mEndpoints.tick();

        // THEN
        assertThat(mEndpoints.find("a")).isPresent();
        assertThat(mEvents).doesNotContain("gone a");
    }

    @Test
    void should_remove_an_endpoint_that_does_not_return_within_two_seconds_after_a_log_outage() {
        // GIVEN
        write("a", "1 1 ready");
        mEndpoints.logUnavailable();
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));

        // WHEN
        mClock.advance(Duration.ofMillis(2_050));
        mEndpoints.tick();

        // THEN
        assertThat(mEndpoints.find("a")).isEmpty();
    }

    @Test
    void should_keep_an_endpoint_draining_until_its_process_restarts() {
        // GIVEN
        write("a", "1 1 draining");

        // WHEN a late record of the same process arrives, then one of a new process
        write("a", "1 2 ready");
        write("a", "2 1 ready");

        // THEN
        assertThat(mEvents).containsExactly("drains a", "drains a", "up a");
    }

    @Test
    void should_ignore_records_of_an_earlier_process_and_earlier_records_of_the_same_process() {
        // GIVEN
        write("a", "5 3 ready");

        // WHEN
        write("a", "4 9 draining");
        write("a", "5 2 draining");

        // THEN
        assertThat(mEndpoints.find("a").orElseThrow().draining()).isFalse();
    }

    @Test
    void should_keep_other_endpoints_when_a_record_cannot_be_decoded() {
        // GIVEN
        write("a", "1 1 ready");

        // WHEN
        write("a", "rubbish");
        write("b", "rubbish");

        // THEN
        assertThat(mEndpoints.all()).extracting(EndpointAnnouncement::id).containsExactly("a");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 100, 1_000})
    void should_end_a_batch_once_however_many_endpoints_it_announces(int count) {
        // GIVEN
        List<KeyedRecord> records = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            records.add(
                    KeyedRecord.of(
                            "endpoint-" + number, "1 1 ready".getBytes(StandardCharsets.UTF_8)));
        }

        // WHEN
        mEndpoints.apply(records);

        // THEN
        assertThat(mEvents).hasSize(count);
        assertThat(mBatches).isEqualTo(1);
    }

    @Test
    void should_end_a_batch_when_an_endpoint_does_not_return_after_a_log_outage() {
        // GIVEN
        write("a", "1 1 ready");
        mEndpoints.logUnavailable();
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));
        int batches = mBatches;

        // WHEN
        mClock.advance(Duration.ofSeconds(3));
        mEndpoints.tick();

        // THEN
        assertThat(mEvents).contains("gone a");
        assertThat(mBatches).isEqualTo(batches + 1);
    }

    /** Applies a record with the start of the process, the sequence number and the state. */
    private void write(String id, String text) {
        mEndpoints.apply(List.of(KeyedRecord.of(id, text.getBytes(StandardCharsets.UTF_8))));
    }

    private static Optional<EndpointAnnouncement> decode(String key, byte[] value) {
        String[] words = new String(value, StandardCharsets.UTF_8).split(" ");
        if (words.length != 3) {
            return Optional.empty();
        }
        return Optional.of(
                new EndpointAnnouncement(
                        key,
                        "service",
                        new EndpointAddress("10.0.0.1", 80),
                        "centre",
                        Long.parseLong(words[0]),
                        4,
                        words[2].equals("draining"),
                        OptionalLong.empty(),
                        Long.parseLong(words[1]),
                        List.of(),
                        List.of(),
                        List.of()));
    }
}
