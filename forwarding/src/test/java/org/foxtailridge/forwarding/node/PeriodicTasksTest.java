package org.foxtailridge.forwarding.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailridge.core.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the intervals of periodic work, and that one failing task stops no other. */
class PeriodicTasksTest {
    private final ManualClock mClock = ManualClock.atEpoch();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private long mWakeUpMilliseconds = 50;
    private final PeriodicTasks mTasks =
            new PeriodicTasks(mChannel.eventLoop(), mClock, () -> mWakeUpMilliseconds);

    @BeforeEach
    void freezeTime() {
        mChannel.freezeTime();
    }

    @ParameterizedTest
    @CsvSource({"20,20,50", "20,50,25", "50,50,20", "50,100,10", "50,20,20"})
    void should_run_a_task_at_the_wake_up_nearest_to_its_interval(
            long wakeUp, long interval, int expectedInOneSecond) {
        // GIVEN
        mWakeUpMilliseconds = wakeUp;
        AtomicInteger runs = new AtomicInteger();
        mTasks.add(interval, runs::incrementAndGet);
        mTasks.start();

        // WHEN
        run(1_000);

        // THEN
        assertThat(runs.get()).isEqualTo(expectedInOneSecond);
    }

    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class})
    void should_run_all_tasks_after_one_has_failed(Class<? extends Throwable> kind) {
        // GIVEN
        AtomicInteger failing = new AtomicInteger();
        AtomicInteger working = new AtomicInteger();
        mTasks.add(
                50,
                () -> {
                    failing.incrementAndGet();
                    throwUnchecked(kind);
                });
        mTasks.add(50, working::incrementAndGet);
        mTasks.start();

        // WHEN
        run(200);

        // THEN
        assertThat(failing.get()).isEqualTo(4);
        assertThat(working.get()).isEqualTo(4);
    }

    private static void throwUnchecked(Class<? extends Throwable> kind) {
        if (kind == StackOverflowError.class) {
            throw new StackOverflowError("expected by the test");
        }
        throw new IllegalStateException("expected by the test");
    }

    private void run(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 10) {
            mClock.advance(Duration.ofMillis(10));
            mChannel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }
}
