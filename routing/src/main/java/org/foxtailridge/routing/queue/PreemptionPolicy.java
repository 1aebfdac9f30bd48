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
final class PreemptionPolicy {
    private static final int MAXIMUM_SCANNED_ATTEMPTS = 256;
    private static final int PREFILLED_WAIT_FACTOR = 3;

    private final Router mRouter;
    private final QueueSettings mSettings;
    private final TreeMap<Long, RunningAttempt> mBatch = new TreeMap<>();
    private final Set<String> mTargetsAwaitingPreemption = new HashSet<>();

    PreemptionPolicy(Router router, QueueSettings settings) {
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
            mTargetsAwaitingPreemption.remove(running.preemptedFor());
        }
    }

    /**
     * Returns an attempt to cancel for a request that waits, if there is one and none is being
     * cancelled for its target already.
     */
    Optional<RunningAttempt> victimFor(QueuedRequest waiting, long now) {
        String target = waiting.request().target().name();
        long waited = now - waiting.arrivedMilliseconds();
        if (mTargetsAwaitingPreemption.contains(target)
                || waited < mSettings.preemptAfterWaitMilliseconds()) {
            return Optional.empty();
        }
        Optional<RunningAttempt> victim =
                find(waiting.request(), now, running -> !running.hasFirstToken());
        if (victim.isEmpty()
                && waited >= PREFILLED_WAIT_FACTOR * mSettings.preemptAfterWaitMilliseconds()) {
            victim = find(waiting.request(), now, PreemptionPolicy::isDueBy);
        }
        victim.ifPresent(
                running -> {
                    running.markPreemptedFor(target);
                    mTargetsAwaitingPreemption.add(target);
                });
        return victim;
    }

    private Optional<RunningAttempt> find(
            RouteRequest waiting, long now, Predicate<RunningAttempt> filter) {
        return mBatch.descendingMap().values().stream()
                .limit(MAXIMUM_SCANNED_ATTEMPTS)
                .filter(filter)
                .filter(running -> isPreemptible(running, now))
                .filter(running -> freesCapacityFor(running, waiting))
                .findFirst();
    }

    private static boolean isDueBy(RunningAttempt running) {
        return running.attempt().request().workClass() == WorkClass.DUE_BY;
    }

    private boolean isPreemptible(RunningAttempt running, long now) {
        return running.preemptedFor() == null
                && !running.attempt().request().isolated()
                && running.attempt().request().preemptions() < mSettings.maximumPreemptions()
                && !running.queued().isUrgent(mSettings, now);
    }

    private boolean freesCapacityFor(RunningAttempt running, RouteRequest waiting) {
        return !waiting.excluded().contains(running.attempt().endpoint())
                && mRouter.targetsOn(running.attempt().endpoint())
                        .contains(waiting.target().name());
    }
}
