package org.foxtailridge.forwarding.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Requests that wait until an adapter is resident on an engine. One load serves all requests that
 * wait for the same adapter. Confined to the event loop.
 */
final class PendingAdapterLoads {
    // A load takes some tens of milliseconds; after the time of a few loads another endpoint is
    // the better choice.
    private static final long MAXIMUM_WAIT_MILLISECONDS = 350;

    private final EventLoop mLoop;
    private final Map<AdapterKey, List<Waiter>> mPending = new HashMap<>();

    PendingAdapterLoads(EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Adds a request that waits for an adapter.
     *
     * @param key the adapter
     * @param onResident called once: with whether the adapter is resident, or with false when the
     *     maximum wait has passed
     * @param requestLoad requests the load; run only for the first request that waits
     * @return cancels the wait; {@code onResident} is not called then
     */
    Runnable add(AdapterKey key, Consumer<Boolean> onResident, Runnable requestLoad) {
        Waiter waiter = new Waiter(onResident);
        List<Waiter> waiters = mPending.computeIfAbsent(key, unused -> new ArrayList<>());
        waiters.add(waiter);
        waiter.mTimeout =
                mLoop.schedule(
                        () -> complete(key, waiter, false),
                        MAXIMUM_WAIT_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
        if (waiters.size() == 1) {
            requestLoad.run();
        }
        return () -> cancel(key, waiter);
    }

    /** Completes all waits for an adapter. */
    void complete(AdapterKey key, boolean resident) {
        for (Waiter waiter : List.copyOf(mPending.getOrDefault(key, List.of()))) {
            complete(key, waiter, resident);
        }
    }

    private void complete(AdapterKey key, Waiter waiter, boolean resident) {
        cancel(key, waiter);
        waiter.mOnResident.accept(resident);
    }

    private void cancel(AdapterKey key, Waiter waiter) {
        waiter.mTimeout.cancel(false);
        List<Waiter> waiters = mPending.get(key);
        if (waiters != null) {
            waiters.remove(waiter);
            if (waiters.isEmpty()) {
                mPending.remove(key);
            }
        }
    }

    private static final class Waiter {
        private final Consumer<Boolean> mOnResident;
        private ScheduledFuture<?> mTimeout;

        private Waiter(Consumer<Boolean> onResident) {
            mOnResident = onResident;
        }
    }
}
