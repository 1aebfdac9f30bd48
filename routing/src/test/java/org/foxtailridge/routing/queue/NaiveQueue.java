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
    private final Map<String, Double> mVirtualTimeOfShare = new HashMap<>();
    private final Map<WorkClass, Double> mVirtualTimes = new HashMap<>();
    private final ToDoubleFunction<String> mWeights;

    NaiveQueue(ToDoubleFunction<String> weights) {
        mWeights = weights;
    }

    void add(QueuedRequest queued) {
        WorkClass workClass = queued.request().workClass();
        boolean idle = mRequests.stream().noneMatch(other -> sameShare(other, queued));
        if (idle) {
            double virtualTime = mVirtualTimes.getOrDefault(workClass, 0.0);
            mVirtualTimeOfShare.merge(share(queued), virtualTime, Math::max);
        }
        mRequests.add(queued.mayHaveBegun() ? 0 : mRequests.size(), queued);
    }

    Optional<QueuedRequest> next() {
        return mRequests.stream()
                .filter(this::isFirstOfShare)
                .min(
                        Comparator.<QueuedRequest, WorkClass>comparing(
                                        queued -> queued.request().workClass())
                                .thenComparing(queued -> mVirtualTimeOfShare.get(share(queued)))
                                .thenComparing(QueuedRequest::account));
    }

    void serve(QueuedRequest queued) {
        mRequests.remove(queued);
        double before = mVirtualTimeOfShare.get(share(queued));
        mVirtualTimes.merge(queued.request().workClass(), before, Math::max);
        mVirtualTimeOfShare.put(share(queued), before + queued.tokens() / weight(queued));
    }

    void adjustCharge(QueuedRequest queued, long correction) {
        mVirtualTimeOfShare.computeIfPresent(
                share(queued), (unused, served) -> served + correction / weight(queued));
    }

    private double weight(QueuedRequest queued) {
        return mWeights.applyAsDouble(queued.account());
    }

    private boolean isFirstOfShare(QueuedRequest queued) {
        return mRequests.stream().filter(other -> sameShare(other, queued)).findFirst().get()
                == queued;
    }

    private static boolean sameShare(QueuedRequest one, QueuedRequest other) {
        return share(one).equals(share(other));
    }

    private static String share(QueuedRequest queued) {
        return queued.request().workClass() + "/" + queued.account();
    }
}
