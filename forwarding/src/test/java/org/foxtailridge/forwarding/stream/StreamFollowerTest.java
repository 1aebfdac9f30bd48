package org.foxtailridge.forwarding.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost records, missed deletions of keys and a state that goes back to older
 * records, when the log deletes records or is unavailable.
 */
class StreamFollowerTest {
    private final ManualClock mClock = ManualClock.atEpoch();
    private final FakeLog mLog = new FakeLog();
    private final List<String> mEvents = new ArrayList<>();
    private boolean mFailing;
    private final StreamFollower mFollower =
            new StreamFollower(
                    KeyedStream.CONFIGURATION,
                    mLog,
                    new FollowerTimings(
                            Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(200)),
                    mClock,
                    new Recorder());

    @Test
    void should_start_with_the_newest_record_of_each_key_and_read_on_from_there() {
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
    void should_read_the_newest_records_again_when_the_log_has_deleted_the_next_ones() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("gone", "1"));
        mFollower.tick();

        // WHEN
        mLog.append(KeyedRecord.tombstone("gone"));
        mLog.append(entry("k", "2"));
        mLog.compact();
        advance(500);
        advance(1);

        // THEN
        assertThat(mEvents).contains("k=2", "gone dropped");
        assertThat(mFollower.values()).containsOnlyKeys("k");
    }

    @Test
    void should_read_on_after_its_listener_has_failed() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mFailing = true;
        mFollower.tick();

        // WHEN
        mFailing = false;
        mLog.append(entry("k", "2"));
        advance(500);

        // THEN
        assertThat(mEvents).containsExactly("k=2");
    }

    @Test
    void should_ignore_an_older_snapshot_of_a_peer() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("k", "2"));
        mFollower.tick();

        // WHEN
        mFollower.installSnapshot(new KeyedBatch(List.of(entry("k", "1")), 1), 0);

        // THEN
        assertThat(new String(mFollower.values().get("k"), StandardCharsets.UTF_8)).isEqualTo("2");
    }

    @Test
    void should_install_a_newer_snapshot_of_a_peer_while_the_log_is_unavailable() {
        // GIVEN
        mLog.setUnavailable(true);
        mFollower.tick();

        // WHEN
        mFollower.installSnapshot(new KeyedBatch(List.of(entry("k", "3")), 3), 0);

        // THEN
        assertThat(mEvents).containsExactly("failed", "k=3");
        assertThat(mFollower.nextOffset()).isEqualTo(3);
    }

    @Test
    void should_read_on_from_the_snapshot_of_a_peer_when_the_log_is_available_again() {
        // GIVEN
        mLog.append(entry("k", "1"));
        mLog.append(entry("k", "2"));
        mLog.setUnavailable(true);
        mFollower.tick();
        mFollower.installSnapshot(new KeyedBatch(List.of(entry("k", "1")), 1), 0);

        // WHEN
        mLog.setUnavailable(false);
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
            if (mFailing) {
                throw new IllegalStateException("expected by the test");
            }
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
