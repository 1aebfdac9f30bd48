package org.foxtailridge.limits.bucket;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Remembers the least headroom of a bucket since each past taking, so that unused tokens are given
 * back only as far as the bucket could have held them ever since they were taken.
 *
 * <p>Without this bound a caller could take tokens, let the bucket refill, take these too, return
 * the first and take them once more: more than the burst within one instant.
 *
 * <p>Kept as steps of growing stamps and growing values: the value of a step is the least headroom
 * at or after its stamp. Beyond {@link #MAXIMUM_STEPS} the two oldest steps become one with the
 * lower value, which gives back less but never more.
 */
final class HeadroomHistory {
    static final int MAXIMUM_STEPS = 256;

    private final Deque<Step> mSteps = new ArrayDeque<>();

    /** Notes the headroom after the taking of a stamp. */
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

    /** Takes headroom away from all time since a stamp; returns how much. */
    long refund(long stamp, long microTokens) {
        long allowed = Math.max(0, Math.min(microTokens, minimumSince(stamp)));
        if (allowed == 0) {
            return 0;
        }
        List<Step> lowered = new ArrayList<>();
        while (!mSteps.isEmpty() && mSteps.getLast().stamp() >= stamp) {
            Step step = mSteps.removeLast();
            lowered.add(0, new Step(step.stamp(), step.minimumMicroTokens() - allowed));
        }
        lowered.forEach(step -> add(step.stamp(), step.minimumMicroTokens()));
        return allowed;
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
