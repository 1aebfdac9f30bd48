package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A listed model inside one planning run. */
final class ModelState {
    final ModelNeed mNeed;

    /** Accelerators that its demand keeps busy. */
    final double mDemand;

    final List<Holder> mHolders = new ArrayList<>();

    ModelState(ModelNeed need, double demand) {
        mNeed = need;
        mDemand = demand;
    }

    String name() {
        return mNeed.model().name();
    }

    Stream<Holder> counted() {
        return mHolders.stream().filter(Holder::isCounted);
    }

    int countedCopies() {
        int copies = 0;
        for (Holder holder : mHolders) {
            copies += holder.isCounted() ? 1 : 0;
        }
        return copies;
    }

    /** Returns whether a data centre has a copy that is counted on, answering or not. */
    boolean covers(String dataCentre) {
        for (Holder holder : mHolders) {
            Slot slot = holder.mSlot;
            boolean stays = holder.mState != CopyState.GOING && !slot.mView.leaving();
            if (stays && slot.mExpected && slot.mView.dataCentre().equals(dataCentre)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the load of the least busy endpoint that holds a copy; 0 without copies. */
    double lowestLoad() {
        double lowest = Double.MAX_VALUE;
        for (Holder holder : mHolders) {
            if (holder.isCounted()) {
                lowest = Math.min(lowest, holder.mSlot.load());
            }
        }
        return lowest == Double.MAX_VALUE ? 0 : lowest;
    }
}
