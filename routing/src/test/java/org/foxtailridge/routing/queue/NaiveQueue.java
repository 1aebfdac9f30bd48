package org.foxtailridge.routing.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.foxtailridge.configuration.model.WorkClass;

/** Reference implementation of the order of {@link TargetQueue}: a linear scan of one list. */
final class NaiveQueue {
    private final List<QueuedRequest> mRequests = new ArrayList<>();
    private final Map<String, Double> mAccountVirtualTimes = new HashMap<>();
    private final Map<WorkClass, Double> mClassVirtualTimes = new HashMap<>();
    private final ToDoubleFunction<String> mWeights;

    NaiveQueue(ToDoubleFunction<String> weights) {
        mWeights = weights;
    }

    void add(QueuedRequest queued) {
        WorkClass workClass = queued.request().workClass();
        boolean idle = mRequests.stream().noneMatch(other -> sameAccount(other, queued));
        if (idle) {
            double virtualTime = mClassVirtualTimes.getOrDefault(workClass, 0.0);
            mAccountVirtualTimes.merge(accountKey(queued), virtualTime, Math::max);
        }
        mRequests.add(queued.mayHaveBegun() ? 0 : mRequests.size(), queued);
    }

    Optional<QueuedRequest> next() {
        return mRequests.stream()
                .filter(this::isFirstOfAccount)
                .min(
                        Comparator.<QueuedRequest, WorkClass>comparing(
                                        queued -> queued.request().workClass())
                                .thenComparing(
                                        queued -> mAccountVirtualTimes.get(accountKey(queued)))
                                .thenComparing(QueuedRequest::account));
    }

    void serve(QueuedRequest queued) {
        mRequests.remove(queued);
        double before = mAccountVirtualTimes.get(accountKey(queued));
        mClassVirtualTimes.merge(queued.request().workClass(), before, Math::max);
        mAccountVirtualTimes.put(accountKey(queued), before + queued.tokens() / weight(queued));
    }

    void adjustCharge(QueuedRequest queued, long correction) {
        mAccountVirtualTimes.computeIfPresent(
                accountKey(queued),
                (unused, virtualTime) -> virtualTime + correction / weight(queued));
    }

    private double weight(QueuedRequest queued) {
        return mWeights.applyAsDouble(queued.account());
    }

    private boolean isFirstOfAccount(QueuedRequest queued) {
        return mRequests.stream().filter(other -> sameAccount(other, queued)).findFirst().get()
                == queued;
    }

    private static boolean sameAccount(QueuedRequest one, QueuedRequest other) {
        return accountKey(one).equals(accountKey(other));
    }

    private static String accountKey(QueuedRequest queued) {
        return queued.request().workClass() + "/" + queued.account();
    }
}
