package org.foxtailridge.placement.plan;

import java.util.ArrayList;
import java.util.List;

/** An endpoint inside one planning run. */
final class Slot {
    final EndpointView mView;

    /** Whether it answers, or stopped to answer only a short while ago. */
    final boolean mExpected;

    final List<Holder> mHolders = new ArrayList<>();

    /** Free memory less the room kept for adapters, reservations and the steps of this run. */
    long mFreeBytes;

    /** Accelerators that the demand of its copies keeps busy. */
    double mBusy;

    Slot(EndpointView view, boolean expected) {
        mView = view;
        mExpected = expected;
        mFreeBytes = view.freeBytes();
    }

    /** Returns the share of the accelerators that is busy; above 1 when there is more demand. */
    double load() {
        return mBusy / mView.accelerators();
    }

    /** Returns whether it holds the listed version of the model, coming or serving. */
    boolean holdsListed(ModelState model) {
        for (Holder holder : mHolders) {
            boolean stays = holder.mState != CopyState.GOING;
            if (holder.mModel == model && holder.isCurrent() && stays) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether it holds the model in any version and state. */
    boolean holds(ModelState model) {
        for (Holder holder : mHolders) {
            if (holder.mModel == model) {
                return true;
            }
        }
        return false;
    }
}
