package org.foxtailridge.forwarding.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdapterWaitsTest {
    private static final AdapterKey KEY = new AdapterKey("i-1", "scribe/base", "lots");
    private static final AdapterKey OTHER = new AdapterKey("i-2", "scribe/base", "lots");
    private static final long LONG_MILLISECONDS = 10_000;

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final AdapterWaits mWaits = new AdapterWaits(mChannel.eventLoop());
    private final List<Boolean> mTold = new ArrayList<>();
    private int mAsked;

    @Test
    void should_ask_once_for_all_that_wait_for_an_adapter() {
        // GIVEN two requests that wait for the same one
        add(KEY);
        add(KEY);

        // WHEN
        mWaits.end(KEY, true);

        // THEN
        assertThat(mAsked).isEqualTo(1);
        assertThat(mTold).containsExactly(true, true);
    }

    @Test
    void should_leave_those_waiting_that_want_another_engine() {
        // GIVEN
        add(KEY);
        add(OTHER);

        // WHEN
        mWaits.end(KEY, true);

        // THEN
        assertThat(mAsked).isEqualTo(2);
        assertThat(mTold).containsExactly(true);
    }

    @Test
    void should_say_no_once_after_too_long_a_wait() {
        // GIVEN
        add(KEY);

        // WHEN
        passTime();
        mWaits.end(KEY, true);

        // THEN
        assertThat(mTold).containsExactly(false);
    }

    @Test
    void should_ask_again_after_all_have_given_up() {
        // GIVEN a request that no longer waits
        add(KEY).run();

        // WHEN
        add(KEY);
        passTime();

        // THEN only the second one is told
        assertThat(mAsked).isEqualTo(2);
        assertThat(mTold).containsExactly(false);
    }

    private Runnable add(AdapterKey key) {
        return mWaits.add(key, mTold::add, () -> mAsked++);
    }

    private void passTime() {
        mChannel.advanceTimeBy(LONG_MILLISECONDS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }
}
