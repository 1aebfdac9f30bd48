package org.foxtailridge.routing.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;

/**
 * Chooses batch attempts to cancel so that interactive work need not wait.
 *
 * <p>Work due by a time gives way before work that must complete, and the newest first, as it has
 * the least to lose. No request gives way more often than the settings allow, nor when urgent.
 */
final class Preemption {
    private static final int LARGEST_SCAN = 256;

    private final Router mRouter;
    private final QueueSettings mSettings;
    private final TreeMap<Long, RunningAttempt> mBatch = new TreeMap<>();
    private final Map<String, Integer> mOutstanding = new HashMap<>();

    Preemption(Router router, QueueSettings settings) {
        mRouter = router;
        mSettings = settings;
    }

    void started(RunningAttempt running) {
        if (running.queued().isBatch()) {
            mBatch.put(running.number(), running);
        }
    }

    void ended(RunningAttempt running) {
        mBatch.remove(running.number());
        if (running.preemptedFor() != null) {
            mOutstanding.merge(running.preemptedFor(), -1, Preemption::sumOrNothing);
        }
    }

    /**
     * Returns an attempt to cancel for a request that waits, if there is one and not enough are
     * being cancelled for its target already.
     */
    Optional<RunningAttempt> victimFor(RouteRequest waiting, int waitingRequests, long now) {
        String target = waiting.target().name();
        if (mOutstanding.getOrDefault(target, 0) >= waitingRequests) {
            return Optional.empty();
        }
        Optional<RunningAttempt> victim = find(waiting, WorkClass.DUE_BY, now);
        if (victim.isEmpty()) {
            victim = find(waiting, WorkClass.MUST_COMPLETE, now);
        }
        victim.ifPresent(
                running -> {
                    running.preemptFor(target);
                    mOutstanding.merge(target, 1, Integer::sum);
                });
        return victim;
    }

    private Optional<RunningAttempt> find(RouteRequest waiting, WorkClass workClass, long now) {
        return mBatch.descendingMap().values().stream()
                .limit(LARGEST_SCAN)
                .filter(running -> running.attempt().request().workClass() == workClass)
                .filter(running -> mayGiveWay(running, now))
                .filter(running -> helps(running, waiting))
                .findFirst();
    }

    private boolean mayGiveWay(RunningAttempt running, long now) {
        return running.preemptedFor() == null
                && !running.attempt().request().isolated()
                && running.attempt().request().preemptions() < mSettings.maximumPreemptions()
                && !running.queued().isUrgent(mSettings, now);
    }

    private boolean helps(RunningAttempt running, RouteRequest waiting) {
        return !waiting.excluded().contains(running.attempt().endpoint())
                && mRouter.targetsOn(running.attempt().endpoint())
                        .contains(waiting.target().name());
    }

    private static Integer sumOrNothing(int count, int change) {
        return count + change <= 0 ? null : count + change;
    }
}
