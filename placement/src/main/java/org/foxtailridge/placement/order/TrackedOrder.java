package org.foxtailridge.placement.order;

import java.time.Instant;
import java.util.List;

/** An order on its way, as its present holder sees it. */
final class TrackedOrder {
    /** Stages of an order. */
    enum Stage {
        INTENDED,
        RECORDED,
        SENT,
        RUNNING,
        UNRESOLVED,
        CONFIRMING,
        RESOLVING
    }

    final Order mOrder;
    final List<String> mWitnesses;
    Stage mStage;
    Instant mAppendedAt;
    Instant mSendAt;
    Instant mSendBefore;
    Instant mAskedAt;
    boolean mMayArriveLate;
    boolean mWasSent;
    boolean mFenced;
    long mQuery;
    long mAskedIn;
    int mReportsSinceDone;
    int mRepeats;
    Instant mRepeatAt = Instant.EPOCH;
    OrderOutcome mOutcome;
    long mEndedIn;

    TrackedOrder(Order order, List<String> witnesses, Stage stage, Instant now) {
        mOrder = order;
        mWitnesses = witnesses;
        mStage = stage;
        mAppendedAt = now;
        mAskedAt = now;
    }

    /** Changes the stage; answers to queries asked before it do not count any more. */
    void moveTo(Stage stage) {
        mStage = stage;
        mQuery = 0;
    }

    boolean isAt(Stage stage) {
        return mStage == stage;
    }

    boolean isAwaited() {
        return mStage == Stage.SENT || mStage == Stage.RUNNING || mStage == Stage.UNRESOLVED;
    }
}
