package org.foxtailridge.forwarding.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are completed twice, never, or for another engine's adapter, and
 * against one load order per waiting request.
 */
class PendingAdapterLoadsTest {
    private static final AdapterKey KEY = new AdapterKey("i-1", "scribe/base", "lots");
    private static final AdapterKey OTHER = new AdapterKey("i-2", "scribe/base", "lots");
    private static final long LONG_MILLISECONDS = 10_000;

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final PendingAdapterLoads mPendingLoads = new PendingAdapterLoads(mChannel.eventLoop());
    private final List<Boolean> mResults = new ArrayList<>();
    private int mLoadRequests;

    @Test
    void should_request_one_load_for_all_waiting_requests() {
        // GIVEN two requests that wait for the same adapter
        add(KEY);
        add(KEY);

        // WHEN
        mPendingLoads.complete(KEY, true);

        // THEN
        assertThat(mLoadRequests).isEqualTo(1);
        assertThat(mResults).containsExactly(true, true);
    }

    @Test
    void should_not_complete_requests_that_wait_for_another_engine() {
        // GIVEN
        add(KEY);
        add(OTHER);

        // WHEN
        mPendingLoads.complete(KEY, true);

        // THEN
        assertThat(mLoadRequests).isEqualTo(2);
        assertThat(mResults).containsExactly(true);
    }

    @Test
    void should_complete_once_with_false_after_the_maximum_wait() {
        // GIVEN
        add(KEY);

        // WHEN
        passTime();
        mPendingLoads.complete(KEY, true);

        // THEN
        assertThat(mResults).containsExactly(false);
    }

    @Test
    void should_request_a_load_again_after_all_requests_were_cancelled() {
        // GIVEN a request whose wait was cancelled
        add(KEY).run();

        // WHEN
        add(KEY);
        passTime();

        // THEN only the second one completes
        assertThat(mLoadRequests).isEqualTo(2);
        assertThat(mResults).containsExactly(false);
    }

    private Runnable add(AdapterKey key) {
        return mPendingLoads.add(key, mResults::add, () -> mLoadRequests++);
    }

    private void passTime() {
        mChannel.advanceTimeBy(LONG_MILLISECONDS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }
}
