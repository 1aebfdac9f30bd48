package org.foxtailridge.standins.service;

/** Counts down the calls that fault switches still apply to. Used by one thread. */
final class CallFaults {
    private int mNotStarted;
    private int mCutBefore;
    private int mLoseAnswers;
    private int mHalfAnswers;
    private int mOtherAnswers;

    CallFaults(ServiceFaults faults) {
        mNotStarted = faults.notStarted();
        mCutBefore = faults.cutBefore();
        mLoseAnswers = faults.loseAnswers();
        mHalfAnswers = faults.halfAnswer();
        mOtherAnswers = faults.otherAnswer();
    }

    boolean takeNotStarted() {
        return mNotStarted > 0 && mNotStarted-- > 0;
    }

    boolean takeCutBefore() {
        return mCutBefore > 0 && mCutBefore-- > 0;
    }

    boolean takeLoseAnswer() {
        return mLoseAnswers > 0 && mLoseAnswers-- > 0;
    }

    boolean takeHalfAnswer() {
        return mHalfAnswers > 0 && mHalfAnswers-- > 0;
    }

    boolean takeOtherAnswer() {
        return mOtherAnswers > 0 && mOtherAnswers-- > 0;
    }
}
