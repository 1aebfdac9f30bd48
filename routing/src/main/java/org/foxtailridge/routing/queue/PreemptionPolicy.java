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
 * Selects running batch attempts to cancel when interactive requests wait for capacity.
 *
 * <p>Attempts without a first token are preempted first, the newest before older ones, as
 * cancelling them loses the least work. When an interactive request has waited for {@link
 * #PREFILLED_WAIT_FACTOR} times the preemption wait, attempts of work due by a time are preempted
 * even after their first token; attempts of work that must complete are not. Isolated and urgent
 * requests and those that were preempted as often as the settings allow are never preempted. Only
 * one attempt at a time is being cancelled for each target. Confined to the scheduler's thread.
 */
final class PreemptionPolicy {
    // Bounds the cost of one search.
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
     * Returns an attempt to cancel for a waiting request and marks it as preempted. Returns nothing
     * while the request has waited for less than the preemption wait, while an attempt is already
     * being cancelled for its target, and when no attempt may be preempted.
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
                && !running.attempt().request().isIsolated()
                && running.attempt().request().preemptionCount() < mSettings.maximumPreemptions()
                && !running.queued().isUrgent(mSettings, now);
    }

    private boolean freesCapacityFor(RunningAttempt running, RouteRequest waiting) {
        return !waiting.excludedEndpoints().contains(running.attempt().endpoint())
                && mRouter.targetsOn(running.attempt().endpoint())
                        .contains(waiting.target().name());
    }
}
