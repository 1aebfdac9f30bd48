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
 * The bounded queue of one model or service.
 *
 * <p>Interactive work goes first, then work that must complete, then work due by a time. Urgent
 * batch work takes turns with interactive work. Inside a class client accounts have fair shares.
 * When the queue is full, the account with the most tokens waiting loses its newest request.
 */
final class TargetQueue {
    private static final WorkClass[] CLASSES = WorkClass.values();

    private final QueueSettings mSettings;
    private final Map<WorkClass, WeightedFairQueue> mLanes = new EnumMap<>(WorkClass.class);
    private final DepartureRate mDepartureRate = new DepartureRate();
    private boolean mUrgentServedLast;

    TargetQueue(QueueSettings settings, ToDoubleFunction<String> weights, AccountOrder order) {
        mSettings = settings;
        for (WorkClass workClass : CLASSES) {
            mLanes.put(workClass, new WeightedFairQueue(settings, weights, order));
        }
    }

    int size() {
        int size = 0;
        for (WeightedFairQueue lane : mLanes.values()) {
            size += lane.size();
        }
        return size;
    }

    /** Returns whether any account's share is remembered. */
    boolean hasAccounts() {
        return mLanes.values().stream().anyMatch(lane -> !lane.accounts().isEmpty());
    }

    /**
     * Adds a request. Returns the request that must give way when the bound is passed, which may be
     * the one added; a request that has begun never gives way.
     */
    Optional<QueuedRequest> add(QueuedRequest queued) {
        lane(queued).add(queued);
        if (size() <= mSettings.maximumPerTarget()) {
            return Optional.empty();
        }
        Optional<QueuedRequest> victim = newestOfLargest(queued);
        victim.ifPresent(this::remove);
        return victim;
    }

    /** Returns the requests to try, in order; at most one for each account and class. */
    List<QueuedRequest> heads(long now) {
        List<QueuedRequest> interactive = mLanes.get(WorkClass.INTERACTIVE).heads(now);
        List<QueuedRequest> urgent = new ArrayList<>();
        List<QueuedRequest> notUrgent = new ArrayList<>();
        for (WorkClass workClass : List.of(WorkClass.MUST_COMPLETE, WorkClass.DUE_BY)) {
            for (QueuedRequest head : mLanes.get(workClass).heads(now)) {
                (head.isUrgent(mSettings, now) ? urgent : notUrgent).add(head);
            }
        }
        List<QueuedRequest> heads = new ArrayList<>();
        heads.addAll(mUrgentServedLast ? interactive : urgent);
        heads.addAll(mUrgentServedLast ? urgent : interactive);
        heads.addAll(notUrgent);
        return heads;
    }

    /** Removes a request that is sent to an endpoint. */
    void serve(QueuedRequest queued, long now) {
        lane(queued).serve(queued);
        mUrgentServedLast = queued.isUrgent(mSettings, now);
        mDepartureRate.recordDeparture(queued.tokens(), now);
    }

    boolean remove(QueuedRequest queued) {
        return lane(queued).remove(queued);
    }

    void adjustCharge(WorkClass workClass, String account, long correctionTokens) {
        mLanes.get(workClass).adjustCharge(account, correctionTokens);
    }

    /** Notes whether requests are left waiting. */
    void updateBacklog(long now) {
        mDepartureRate.setBacklogged(size() > 0, now);
    }

    /** Returns the requests past their deadlines that have not begun. */
    List<QueuedRequest> expired(long now) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (WeightedFairQueue lane : mLanes.values()) {
            for (AccountQueue account : lane.accounts()) {
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

    /** Returns the expected wait of the newest request of an account, in milliseconds. */
    double expectedWaitMilliseconds(QueuedRequest queued, long now) {
        double ahead = lane(queued).tokensAhead(queued.account()) - queued.tokens();
        for (WorkClass workClass : CLASSES) {
            if (workClass.compareTo(queued.request().workClass()) < 0) {
                ahead += mLanes.get(workClass).tokens();
            }
        }
        return mDepartureRate.expectedMilliseconds(Math.max(0, ahead), now);
    }

    private WeightedFairQueue lane(QueuedRequest queued) {
        return mLanes.get(queued.request().workClass());
    }

    /** Returns the newest request of the largest account in the least urgent class. */
    private Optional<QueuedRequest> newestOfLargest(QueuedRequest added) {
        for (int index = CLASSES.length - 1; index >= 0; index--) {
            if (CLASSES[index].compareTo(added.request().workClass()) < 0) {
                break;
            }
            Optional<QueuedRequest> victim = newestOfLargest(mLanes.get(CLASSES[index]));
            if (victim.isPresent()) {
                return victim;
            }
        }
        return added.mayHaveBegun() ? Optional.empty() : Optional.of(added);
    }

    private static Optional<QueuedRequest> newestOfLargest(WeightedFairQueue lane) {
        return lane.accounts().stream()
                .filter(TargetQueue::hasRefusableRequest)
                .max(
                        Comparator.<AccountQueue>comparingDouble(
                                        account -> account.tokens() / account.weight())
                                .thenComparing(AccountQueue::account))
                .map(account -> account.newest());
    }

    private static boolean hasRefusableRequest(AccountQueue account) {
        QueuedRequest newest = account.newest();
        return newest != null && !newest.mayHaveBegun();
    }
}
