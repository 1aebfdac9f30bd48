package org.foxtailridge.limits.bucket;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Minimum headroom of a token bucket since each past stamp. Headroom is the free capacity; each
 * acquisition of tokens has its own stamp. The minimum since a stamp bounds the refund of unused
 * tokens: they are refunded only if the bucket could have held them ever since they were acquired.
 *
 * <p>Without this bound a caller could acquire tokens, let the bucket refill, acquire these too,
 * refund the first and acquire them once more: more than the burst within one instant.
 *
 * <p>Stored as a monotonic queue of steps with increasing stamps and values, where the value of a
 * step is the minimum headroom at or after its stamp. Beyond {@link #MAXIMUM_STEPS} the two oldest
 * steps are merged with the lower value, which may reduce a refund but never increases it.
 */
final class HeadroomHistory {
    static final int MAXIMUM_STEPS = 256;

    private final Deque<Step> mSteps = new ArrayDeque<>();

    /** Adds the current headroom under the current stamp. */
    void add(long stamp, long headroomMicroTokens) {
        while (!mSteps.isEmpty() && mSteps.getLast().minimumMicroTokens() >= headroomMicroTokens) {
            mSteps.removeLast();
        }
        if (!mSteps.isEmpty() && mSteps.getLast().stamp() == stamp) {
            return;
        }
        mSteps.addLast(new Step(stamp, headroomMicroTokens));
        if (mSteps.size() > MAXIMUM_STEPS) {
            Step oldest = mSteps.removeFirst();
            Step second = mSteps.removeFirst();
            mSteps.addFirst(new Step(second.stamp(), oldest.minimumMicroTokens()));
        }
    }

    /** Reduces the headroom since a stamp by a refund; returns what the headroom allows of it. */
    long refund(long stamp, long microTokens) {
        long refunded = Math.max(0, Math.min(microTokens, minimumSince(stamp)));
        if (refunded == 0) {
            return 0;
        }
        List<Step> lowered = new ArrayList<>();
        while (!mSteps.isEmpty() && mSteps.getLast().stamp() >= stamp) {
            Step step = mSteps.removeLast();
            lowered.add(0, new Step(step.stamp(), step.minimumMicroTokens() - refunded));
        }
        lowered.forEach(step -> add(step.stamp(), step.minimumMicroTokens()));
        return refunded;
    }

    private long minimumSince(long stamp) {
        for (Step step : mSteps) {
            if (step.stamp() >= stamp) {
                return step.minimumMicroTokens();
            }
        }
        return 0;
    }

    private record Step(long stamp, long minimumMicroTokens) {}
}
