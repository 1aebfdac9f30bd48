package org.foxtailridge.forwarding.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class StreamFollowerTest {
    private final ManualClock mClock = ManualClock.atEpoch();
    private final FakeLog mLog = new FakeLog();
    private final List<String> mEvents = new ArrayList<>();
    private final StreamFollower mFollower =
            new StreamFollower(
                    KeyedStream.CONFIGURATION,
                    mLog,
                    new FollowerTimes(
                            Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(200)),
                    mClock,
                    new Recorder());

    @Test
    void should_begin_with_the_newest_record_of_each_key_and_go_on_from_there() {
        // GIVEN
        mLog.append(entry("k", "old"));
        mLog.append(entry("k", "new"));

        // WHEN
        mFollower.tick();
        mLog.append(entry("k", "newer"));
        advance(500);

        // THEN
        assertThat(mEvents).containsExactly("k=new", "k=newer");
    }

    @Test
    void should_begin_anew_when_the_log_has_deleted_what_follows() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("gone", "1"));
        mFollower.tick();

        // WHEN
        mLog.append(KeyedRecord.tombstone("gone"));
        mLog.append(entry("k", "2"));
        mLog.forget();
        advance(500);
        advance(1);

        // THEN
        assertThat(mEvents).contains("k=2", "gone dropped");
        assertThat(mFollower.values()).containsOnlyKeys("k");
    }

    @Test
    void should_not_go_back_to_an_older_snapshot_of_a_peer() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("k", "2"));
        mFollower.tick();

        // WHEN
        mFollower.takeSnapshot(new KeyedBatch(List.of(entry("k", "1")), 1), 0);

        // THEN
        assertThat(new String(mFollower.values().get("k"), StandardCharsets.UTF_8)).isEqualTo("2");
    }

    @Test
    void should_take_a_newer_snapshot_of_a_peer_while_the_log_is_away() {
        // GIVEN
        mLog.away(true);
        mFollower.tick();

        // WHEN
        mFollower.takeSnapshot(new KeyedBatch(List.of(entry("k", "3")), 3), 0);

        // THEN
        assertThat(mEvents).containsExactly("failed", "k=3");
        assertThat(mFollower.nextOffset()).isEqualTo(3);
    }

    @Test
    void should_read_on_from_a_peers_snapshot_when_the_log_is_back() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("k", "2"));
        mLog.away(true);
        mFollower.tick();
        mFollower.takeSnapshot(new KeyedBatch(List.of(entry("k", "1")), 1), 0);

        // WHEN
        mLog.away(false);
        advance(200);

        // THEN
        assertThat(mEvents).endsWith("k=2");
    }

    private void advance(long milliseconds) {
        mClock.advance(Duration.ofMillis(milliseconds));
        mFollower.tick();
    }

    private static KeyedRecord entry(String key, String value) {
        return KeyedRecord.of(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private final class Recorder implements StreamListener {
        @Override
        public void changed(List<KeyedRecord> records, StreamSource source) {
            for (KeyedRecord entry : records) {
                mEvents.add(
                        entry.value()
                                .map(
                                        value ->
                                                entry.key()
                                                        + "="
                                                        + new String(value, StandardCharsets.UTF_8))
                                .orElse(entry.key() + " dropped"));
            }
        }

        @Override
        public void confirmed(long asOfMilliseconds) {}

        @Override
        public void failed(Throwable failure) {
            if (!(failure instanceof RecordsDeletedException)) {
                mEvents.add("failed");
            }
        }
    }
}
