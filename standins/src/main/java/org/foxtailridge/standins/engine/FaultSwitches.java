package org.foxtailridge.standins.engine;

/** The fault switches in force and the counts that they have left. Used by one thread. */
final class FaultSwitches {
    private EngineFaults mFaults = EngineFaults.none();
    private int mRequestsLeft;
    private int mOrdersToDrop;
    private int mOrderAnswersToLose;

    void set(EngineFaults faults) {
        mFaults = faults;
        Integer affected = faults.affectedRequests();
        mRequestsLeft = affected == null ? Integer.MAX_VALUE : affected;
        mOrdersToDrop = faults.dropOrders();
        mOrderAnswersToLose = faults.loseOrderAnswers();
    }

    /** Returns the switches that apply to the next request. */
    EngineFaults forNextRequest() {
        if (mRequestsLeft == 0) {
            return EngineFaults.none();
        }
        mRequestsLeft--;
        return mFaults;
    }

    long orderDelayMilliseconds() {
        return mFaults.delayOrdersMs();
    }

    boolean takeDroppedOrder() {
        return mOrdersToDrop > 0 && mOrdersToDrop-- > 0;
    }

    boolean takeLostOrderAnswer() {
        return mOrderAnswersToLose > 0 && mOrderAnswersToLose-- > 0;
    }
}
