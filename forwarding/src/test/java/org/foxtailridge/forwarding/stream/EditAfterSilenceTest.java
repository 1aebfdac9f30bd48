package org.foxtailridge.forwarding.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an edit that comes into force late because the log fell silent and lost the read
 * that it held open for the configuration.
 */
class EditAfterSilenceTest {
    private static final Duration STEP = Duration.ofMillis(10);

    /** Time within which an acknowledged edit has to be in force. */
    private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

    private static final KeyedRecord EDIT = KeyedRecord.of("config", new byte[] {1});

    private final ManualClock mClock = ManualClock.atEpoch();
    private final SilentLog mLog = new SilentLog(mClock);
    private final StreamFollower mEdits = follower(Duration.ofSeconds(4), Duration.ZERO);
    private final StreamFollower mEndpoints = follower(Duration.ZERO, Duration.ofMillis(500));

    @ParameterizedTest
    @ValueSource(ints = {1_500, 2_000, 3_000, 4_000, 5_000, 7_500, 10_000})
    void should_read_an_edit_in_time_however_long_the_log_was_silent(int silentMilliseconds) {
        // GIVEN reads that were lost with the log
        run(Duration.ofSeconds(1));
        mLog.setSilent(true);
        run(Duration.ofMillis(silentMilliseconds));

        // WHEN
        mLog.setSilent(false);
        mLog.append(EDIT);
        run(APPLY_BOUND);

        // THEN
        assertThat(mEdits.values()).containsKey(EDIT.key());
    }

    @ParameterizedTest
    @ValueSource(ints = {600, 800, 1_000})
    void should_replace_a_lost_read_when_a_read_of_another_stream_fails(int silentMilliseconds) {
        // GIVEN a silence that is shorter than the timeout of the lost read
        run(Duration.ofSeconds(1));
        mLog.setSilent(true);
        run(Duration.ofMillis(silentMilliseconds));

        // WHEN
        mLog.setSilent(false);
        mLog.append(EDIT);
        run(APPLY_BOUND);

        // THEN
        assertThat(mEdits.values()).containsKey(EDIT.key());
    }

    @Test
    void should_read_at_once_when_a_held_read_was_lost() {
        // GIVEN a silence between two reads of the other stream, which loses the held read only
        run(Duration.ofMillis(1_200));
        mLog.setSilent(true);
        run(Duration.ofMillis(60));
        mLog.setSilent(false);
        mLog.append(EDIT);

        // WHEN the held read reaches its timeout of 4.8 s
        run(Duration.ofMillis(3_700));

        // THEN
        assertThat(mEdits.values()).containsKey(EDIT.key());
    }

    @Test
    void should_let_the_log_hold_reads_open_again_once_it_answers() {
        // GIVEN
        mLog.setSilent(true);
        run(Duration.ofSeconds(10));
        mLog.setSilent(false);
        run(Duration.ofSeconds(2));
        int received = mLog.received();

        // WHEN
        run(Duration.ofSeconds(8));

        // THEN two reads of the edits and 16 of the endpoints
        assertThat(mLog.received() - received).isLessThanOrEqualTo(19);
    }

    @Test
    void should_cancel_the_reads_that_it_replaces() {
        // WHEN
        run(Duration.ofSeconds(1));
        mLog.setSilent(true);
        run(Duration.ofSeconds(10));

        // THEN one of each stream
        assertThat(mLog.open()).isLessThanOrEqualTo(2);
    }

    private void run(Duration duration) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(duration) < 0;
                passed = passed.plus(STEP)) {
            mClock.advance(STEP);
            mLog.tick();
            mEdits.tick();
            mEndpoints.tick();
        }
    }

    private StreamFollower follower(Duration longPollTimeout, Duration readInterval) {
        return new StreamFollower(
                KeyedStream.CONFIGURATION,
                mLog,
                new FollowerTimings(longPollTimeout, readInterval, Duration.ofMillis(250)),
                mClock,
                new StreamListener() {
                    @Override
                    public void changed(List<KeyedRecord> records, StreamSource source) {}

                    @Override
                    public void confirmed(long asOfMilliseconds) {}

                    @Override
                    public void failed(Throwable failure) {
                        mEdits.logFailed();
                    }
                });
    }
}
