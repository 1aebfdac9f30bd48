package org.foxtailridge.forwarding.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a planned stop that ends after the platform has killed the process, because the
 * process stood still when its SIGTERM was sent.
 */
class SignalTimeTest {
    private static final Duration TICK = Duration.ofMillis(50);

    private final ManualClock mClock = ManualClock.atEpoch();
    private final SignalTime mSignals = new SignalTime(mClock);

    @ParameterizedTest(name = "pause of {0} ms, signal handled {1} ms after it: sent at {2} ms")
    @CsvSource({
        "0, 0, 1000",
        "0, 1000, 2000",
        "100, 0, 1100",
        "2500, 0, 1000",
        "2500, 200, 1000",
        "2500, 500, 1000",
        "2500, 1000, 4500",
    })
    void should_count_from_the_start_of_a_pause_right_before_the_signal(
            long pauseMilliseconds, long afterPauseMilliseconds, long expectedMilliseconds) {
        // GIVEN
        run(Duration.ofSeconds(1));
        mClock.advance(Duration.ofMillis(pauseMilliseconds));
        // WHEN the loop has run again for a while
        if (afterPauseMilliseconds > 0) {
            mSignals.tick();
            run(Duration.ofMillis(afterPauseMilliseconds));
        }
        // THEN
        assertThat(mSignals.earliestSending().toEpochMilli()).isEqualTo(expectedMilliseconds);
    }

    private void run(Duration time) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(time) < 0;
                passed = passed.plus(TICK)) {
            mClock.advance(TICK);
            mSignals.tick();
        }
    }
}
