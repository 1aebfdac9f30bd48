package org.foxtailridge.placement.order;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits loads in log order, so that all holders together stay within the limits of the store.
 *
 * <p>Loads of models are spaced evenly at the store's rate. A load occupies a place from its
 * admission until it has ended, or until the slot time has passed without news of it.
 */
final class WeightStoreBudget {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private final long mSlotMilliseconds;
    private final long mLongestDelayMilliseconds;
    private final Map<String, Long> mModels = new HashMap<>();
    private final Map<String, Long> mAdapters = new HashMap<>();
    private long mNow;
    private long mNextStart;

    WeightStoreBudget(long slotMilliseconds, long longestDelayMilliseconds) {
        mSlotMilliseconds = slotMilliseconds;
        mLongestDelayMilliseconds = longestDelayMilliseconds;
    }

    Admission admit(Order order, WeightStoreLimits limits, long logMilliseconds) {
        advance(logMilliseconds);
        if (order.action() == OrderAction.LOAD_ADAPTER) {
            return admitAdapter(order, limits);
        }
        long delay = Math.max(0, mNextStart - mNow);
        mModels.remove(order.orderId());
        if (mModels.size() >= limits.loadsAtOnce() || delay > mLongestDelayMilliseconds) {
            return Admission.refused(Admission.Decision.STORE_BUSY);
        }
        long start = mNow + delay;
        mNextStart = start + (long) Math.ceil(MILLISECONDS_PER_SECOND / limits.loadsPerSecond());
        mModels.put(order.orderId(), start);
        return new Admission(Admission.Decision.ADMITTED, delay);
    }

    void release(String orderId) {
        mModels.remove(orderId);
        mAdapters.remove(orderId);
    }

    private Admission admitAdapter(Order order, WeightStoreLimits limits) {
        mAdapters.remove(order.orderId());
        if (mAdapters.size() >= limits.adaptersAtOnce()) {
            return Admission.refused(Admission.Decision.STORE_BUSY);
        }
        mAdapters.put(order.orderId(), mNow);
        return Admission.NOW;
    }

    private void advance(long logMilliseconds) {
        mNow = Math.max(mNow, logMilliseconds);
        mModels.values().removeIf(start -> start + mSlotMilliseconds <= mNow);
        mAdapters.values().removeIf(start -> start + mSlotMilliseconds <= mNow);
    }
}
