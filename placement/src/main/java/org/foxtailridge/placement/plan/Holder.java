package org.foxtailridge.placement.plan;

import java.time.Instant;
import org.foxtailridge.placement.engine.Artifact;

/** A copy of a listed model inside one planning run. */
final class Holder {
    final ModelState mModel;
    final Slot mSlot;
    final Artifact mArtifact;
    final long mBytes;
    final Instant mSince;
    CopyState mState;

    Holder(ModelState model, Slot slot, Copy copy, Instant since) {
        mModel = model;
        mSlot = slot;
        mArtifact = copy.artifact();
        mBytes = copy.bytes();
        mState = copy.state();
        mSince = since;
    }

    /** Returns whether requests can be served by it now and after the steps of this run. */
    boolean isServing() {
        return mState == CopyState.SERVING && mSlot.mView.live();
    }

    /** Returns whether it serves, on an endpoint that stays. */
    boolean isLasting() {
        return isServing() && !mSlot.mView.leaving();
    }

    /** Returns whether it serves or is coming, on an endpoint that stays. */
    boolean isCounted() {
        return mState != CopyState.GOING && mSlot.mView.live() && !mSlot.mView.leaving();
    }

    /** Returns whether it holds the listed version. */
    boolean isCurrent() {
        return mArtifact.version().equals(mModel.mNeed.model().version());
    }
}
