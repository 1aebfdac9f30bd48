package org.foxtailridge.forwarding.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Requests that wait for an adapter; one load serves all that wait for the same one. */
final class AdapterWaits {
    // A load takes some tens of milliseconds; another endpoint is better after a few of them.
    private static final long LONGEST_MILLISECONDS = 350;

    private final EventLoop mLoop;
    private final Map<AdapterKey, List<Wait>> mWaits = new HashMap<>();

    AdapterWaits(EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Begins to wait.
     *
     * @param key the adapter
     * @param done told whether the adapter is there, or false after too long a wait
     * @param ask asks for the load; run for the first that waits
     * @return ends the wait without a word
     */
    Runnable add(AdapterKey key, Consumer<Boolean> done, Runnable ask) {
        Wait wait = new Wait(done);
        List<Wait> waiting = mWaits.computeIfAbsent(key, unused -> new ArrayList<>());
        waiting.add(wait);
        wait.mTimer =
                mLoop.schedule(
                        () -> end(key, wait, false), LONGEST_MILLISECONDS, TimeUnit.MILLISECONDS);
        if (waiting.size() == 1) {
            ask.run();
        }
        return () -> cancel(key, wait);
    }

    /** Ends all waits for an adapter. */
    void end(AdapterKey key, boolean resident) {
        for (Wait wait : List.copyOf(mWaits.getOrDefault(key, List.of()))) {
            end(key, wait, resident);
        }
    }

    private void end(AdapterKey key, Wait wait, boolean resident) {
        cancel(key, wait);
        wait.mDone.accept(resident);
    }

    private void cancel(AdapterKey key, Wait wait) {
        wait.mTimer.cancel(false);
        List<Wait> waiting = mWaits.get(key);
        if (waiting != null) {
            waiting.remove(wait);
            if (waiting.isEmpty()) {
                mWaits.remove(key);
            }
        }
    }

    private static final class Wait {
        private final Consumer<Boolean> mDone;
        private ScheduledFuture<?> mTimer;

        private Wait(Consumer<Boolean> done) {
            mDone = done;
        }
    }
}
