package org.foxtailridge.routing.queue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.Router;

/**
 * Chooses batch attempts to cancel so that interactive work need not wait.
 *
 * <p>Attempts without a first token give way first and the newest before older ones, as they have
 * the least to lose. When interactive work has waited for longer, work due by a time gives way
 * although its prompt is computed; work that must complete then doesn't. No request gives way more
 * often than the settings allow, nor when urgent, and one target has one attempt cancelled at a
 * time.
 */
final class Preemption {
    private static final int LARGEST_SCAN = 256;
    private static final int COMPUTED_WAITS = 3;

    private final Router mRouter;
    private final QueueSettings mSettings;
    private final TreeMap<Long, RunningAttempt> mBatch = new TreeMap<>();
    private final Set<String> mOutstanding = new HashSet<>();

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
            mOutstanding.remove(running.preemptedFor());
        }
    }

    /**
     * Returns an attempt to cancel for a request that waits, if there is one and none is being
     * cancelled for its target already.
     */
    Optional<RunningAttempt> victimFor(QueuedRequest waiting, long now) {
        String target = waiting.request().target().name();
        long waited = now - waiting.arrivedMilliseconds();
        if (mOutstanding.contains(target) || waited < mSettings.preemptionWaitMilliseconds()) {
            return Optional.empty();
        }
        Optional<RunningAttempt> victim =
                find(waiting.request(), now, running -> !running.hasFirstToken());
        if (victim.isEmpty() && waited >= COMPUTED_WAITS * mSettings.preemptionWaitMilliseconds()) {
            victim = find(waiting.request(), now, Preemption::isDueBy);
        }
        victim.ifPresent(
                running -> {
                    running.preemptFor(target);
                    mOutstanding.add(target);
                });
        return victim;
    }

    private Optional<RunningAttempt> find(
            RouteRequest waiting, long now, Predicate<RunningAttempt> sort) {
        return mBatch.descendingMap().values().stream()
                .limit(LARGEST_SCAN)
                .filter(sort)
                .filter(running -> mayGiveWay(running, now))
                .filter(running -> helps(running, waiting))
                .findFirst();
    }

    private static boolean isDueBy(RunningAttempt running) {
        return running.attempt().request().workClass() == WorkClass.DUE_BY;
    }

    private boolean mayGiveWay(RunningAttempt running, long now) {
        return running.preemptedFor() == null
                && !running.attempt().request().isIsolated()
                && running.attempt().request().preemptionCount() < mSettings.maximumPreemptions()
                && !running.queued().isUrgent(mSettings, now);
    }

    private boolean helps(RunningAttempt running, RouteRequest waiting) {
        return !waiting.excludedEndpoints().contains(running.attempt().endpoint())
                && mRouter.targetsOn(running.attempt().endpoint())
                        .contains(waiting.target().name());
    }
}
