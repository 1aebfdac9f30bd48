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

class AnnouncedEndpointsTest {
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(100));
    private final List<String> mEvents = new ArrayList<>();
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
                    });

    @Test
    void should_drop_an_endpoint_at_once_while_the_log_is_undisturbed() {
        // GIVEN
        write("a", "1 1 ready");

        // WHEN
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));

        // THEN
        assertThat(mEvents).containsExactly("up a", "gone a");
    }

    @Test
    void should_keep_an_endpoint_whose_record_lapsed_while_the_log_was_away_until_it_is_back() {
        // GIVEN
        write("a", "1 1 ready");
        mEndpoints.logDisturbed();
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
    void should_take_an_endpoint_as_gone_that_is_not_back_two_seconds_after_the_logs_return() {
        // GIVEN
        write("a", "1 1 ready");
        mEndpoints.logDisturbed();
        mEndpoints.apply(List.of(KeyedRecord.tombstone("a")));

        // WHEN
        mClock.advance(Duration.ofMillis(2_050));
        mEndpoints.tick();

        // THEN
        assertThat(mEndpoints.find("a")).isEmpty();
    }

    @Test
    void should_not_take_up_an_endpoint_again_that_drains_until_it_starts_anew() {
        // GIVEN
        write("a", "1 1 draining");

        // WHEN a late record of before, then one of a new start
        write("a", "1 2 ready");
        write("a", "2 1 ready");

        // THEN
        assertThat(mEvents).containsExactly("drains a", "drains a", "up a");
    }

    @Test
    void should_ignore_records_of_an_earlier_life_and_earlier_ones_of_this_life() {
        // GIVEN
        write("a", "5 3 ready");

        // WHEN
        write("a", "4 9 draining");
        write("a", "5 2 draining");

        // THEN
        assertThat(mEndpoints.find("a").orElseThrow().draining()).isFalse();
    }

    @Test
    void should_keep_the_other_endpoints_when_a_record_can_not_be_read() {
        // GIVEN
        write("a", "1 1 ready");

        // WHEN
        write("a", "rubbish");
        write("b", "rubbish");

        // THEN
        assertThat(mEndpoints.all()).extracting(EndpointAnnouncement::id).containsExactly("a");
    }

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
