package org.foxtailridge.routing.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.foxtailridge.configuration.model.WorkClass;

/**
 * Bounded priority queue of one model or service, with a {@link WeightedFairQueue} for each work
 * class.
 *
 * <p>Interactive requests are served first, then those that must complete, then those due by a
 * time. Urgent batch requests alternate with interactive ones. When the queue is full, it evicts
 * the newest request of the account with the most waiting tokens for its weight, from the lowest
 * class that has one, but from no higher class than that of the added request. Requests that may
 * have begun are never evicted. Confined to the scheduler's thread.
 */
final class TargetQueue {
    private static final WorkClass[] CLASSES = WorkClass.values();

    private final QueueSettings mSettings;
    private final Map<WorkClass, WeightedFairQueue> mQueues = new EnumMap<>(WorkClass.class);
    private final DepartureRate mDepartureRate = new DepartureRate();
    private boolean mUrgentServedLast;

    TargetQueue(QueueSettings settings, ToDoubleFunction<String> weights, AccountOrder order) {
        mSettings = settings;
        for (WorkClass workClass : CLASSES) {
            mQueues.put(workClass, new WeightedFairQueue(settings, weights, order));
        }
    }

    int size() {
        int size = 0;
        for (WeightedFairQueue queue : mQueues.values()) {
            size += queue.size();
        }
        return size;
    }

    /** Returns whether any account is kept, also one without waiting requests. */
    boolean hasAccounts() {
        return mQueues.values().stream().anyMatch(queue -> !queue.accounts().isEmpty());
    }

    /**
     * Adds a request. When the bound is exceeded, evicts a request and returns it, which may be the
     * added one. Returns nothing when no request can be evicted, as the queue may exceed its bound
     * by requests that may have begun.
     */
    Optional<QueuedRequest> add(QueuedRequest queued) {
        queueOf(queued).add(queued);
        if (size() <= mSettings.maximumPerTarget()) {
            return Optional.empty();
        }
        Optional<QueuedRequest> victim = evictionCandidate(queued);
        victim.ifPresent(this::remove);
        return victim;
    }

    /** Returns the heads of all accounts and classes in the order in which to try them. */
    List<QueuedRequest> heads(long now) {
        List<QueuedRequest> interactive = mQueues.get(WorkClass.INTERACTIVE).heads(now);
        List<QueuedRequest> urgent = new ArrayList<>();
        List<QueuedRequest> notUrgent = new ArrayList<>();
        for (WorkClass workClass : List.of(WorkClass.MUST_COMPLETE, WorkClass.DUE_BY)) {
            for (QueuedRequest head : mQueues.get(workClass).heads(now)) {
                (head.isUrgent(mSettings, now) ? urgent : notUrgent).add(head);
            }
        }
        List<QueuedRequest> heads = new ArrayList<>();
        heads.addAll(mUrgentServedLast ? interactive : urgent);
        heads.addAll(mUrgentServedLast ? urgent : interactive);
        heads.addAll(notUrgent);
        return heads;
    }

    /** Removes a request that is dispatched and charges its tokens to its account. */
    void serve(QueuedRequest queued, long now) {
        queueOf(queued).serve(queued);
        mUrgentServedLast = queued.isUrgent(mSettings, now);
        mDepartureRate.recordDeparture(queued.tokens(), now);
    }

    boolean remove(QueuedRequest queued) {
        return queueOf(queued).remove(queued);
    }

    /** Corrects the charge of a dispatched request by tokens used minus tokens charged. */
    void adjustCharge(WorkClass workClass, String account, long correctionTokens) {
        mQueues.get(workClass).adjustCharge(account, correctionTokens);
    }

    /** Starts or stops the measurement of the departure rate by whether requests wait. */
    void updateBacklog(long now) {
        mDepartureRate.setBacklogged(size() > 0, now);
    }

    /** Returns the requests past their deadlines, except those that may have begun. */
    List<QueuedRequest> expired(long now) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (WeightedFairQueue queue : mQueues.values()) {
            for (AccountQueue account : queue.accounts()) {
                account.forEach(
                        queued -> {
                            if (!queued.mayHaveBegun() && queued.deadlineMilliseconds() <= now) {
                                expired.add(queued);
                            }
                        });
            }
        }
        return expired;
    }

    /**
     * Returns the expected wait of a request that was just added, in milliseconds. Counts the
     * tokens of all higher classes and of the request's own class; 0 when the departure rate isn't
     * known.
     */
    double expectedWaitMilliseconds(QueuedRequest queued, long now) {
        double ahead = queueOf(queued).tokensAhead(queued.account()) - queued.tokens();
        for (WorkClass workClass : CLASSES) {
            if (workClass.compareTo(queued.request().workClass()) < 0) {
                ahead += mQueues.get(workClass).tokens();
            }
        }
        return mDepartureRate.expectedMilliseconds(Math.max(0, ahead), now);
    }

    private WeightedFairQueue queueOf(QueuedRequest queued) {
        return mQueues.get(queued.request().workClass());
    }

    /** Returns the request to evict, from the lowest class down to that of the added request. */
    private Optional<QueuedRequest> evictionCandidate(QueuedRequest added) {
        for (int index = CLASSES.length - 1; index >= 0; index--) {
            if (CLASSES[index].compareTo(added.request().workClass()) < 0) {
                break;
            }
            Optional<QueuedRequest> victim = evictionCandidate(mQueues.get(CLASSES[index]));
            if (victim.isPresent()) {
                return victim;
            }
        }
        return added.mayHaveBegun() ? Optional.empty() : Optional.of(added);
    }

    private static Optional<QueuedRequest> evictionCandidate(WeightedFairQueue queue) {
        return queue.accounts().stream()
                .filter(TargetQueue::hasEvictableRequest)
                .max(
                        Comparator.<AccountQueue>comparingDouble(
                                        account -> account.tokens() / account.weight())
                                .thenComparing(AccountQueue::account))
                .map(account -> account.newest());
    }

    private static boolean hasEvictableRequest(AccountQueue account) {
        QueuedRequest newest = account.newest();
        return newest != null && !newest.mayHaveBegun();
    }
}
