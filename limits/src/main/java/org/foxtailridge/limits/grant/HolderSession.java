package org.foxtailridge.limits.grant;

/** What a home node knows of one process that it grants tokens to. */
final class HolderSession {
    private long mIncarnation;
    private long mNumber;
    private long mTakenBatch;
    private long mHeldTokens;
    private long mHeldUntilMilliseconds;
    private long mRetiredTokens;
    private long mRetiredUntilMilliseconds;
    private long mOwedTokens;
    private long mHeardMilliseconds;

    /** Returns whether a request is newer than all before; notes it if it is. */
    boolean acceptRequest(long incarnation, long number, long nowMilliseconds) {
        if (incarnation < mIncarnation) {
            return false;
        }
        if (incarnation > mIncarnation) {
            startIncarnation();
            mIncarnation = incarnation;
            mNumber = 0;
            mTakenBatch = 0;
        }
        if (number <= mNumber) {
            return false;
        }
        mNumber = number;
        mHeardMilliseconds = nowMilliseconds;
        return true;
    }

    /**
     * Notes that the holder has no more than these tokens and takes no earlier grant any more.
     *
     * @return tokens that were counted for the holder until now and are not any more
     */
    long updateHeldTokens(long heldTokens) {
        long freed = Math.max(0, mHeldTokens - heldTokens);
        mHeldTokens = heldTokens;
        return freed;
    }

    /** Returns whether the tokens held before a report were still counted at this instant. */
    boolean hasUnexpiredGrant(long nowMilliseconds) {
        return nowMilliseconds < mHeldUntilMilliseconds;
    }

    void addGrant(long tokens, long untilMilliseconds) {
        mHeldTokens += tokens;
        mHeldUntilMilliseconds = untilMilliseconds;
    }

    /** Drops what has lapsed at the holder. */
    void expire(long nowMilliseconds) {
        if (nowMilliseconds >= mHeldUntilMilliseconds) {
            mHeldTokens = 0;
        }
        if (nowMilliseconds >= mRetiredUntilMilliseconds) {
            mRetiredTokens = 0;
        }
    }

    long outstandingTokens() {
        return mHeldTokens + mRetiredTokens;
    }

    long acceptedBatch() {
        return mTakenBatch;
    }

    void setAcceptedBatch(long batch) {
        mTakenBatch = batch;
    }

    long lastRequestMilliseconds() {
        return mHeardMilliseconds;
    }

    void deferDeduction(long tokens) {
        mOwedTokens += tokens;
    }

    long removeDeferredTokens() {
        long owed = mOwedTokens;
        mOwedTokens = 0;
        return owed;
    }

    private void startIncarnation() {
        mRetiredTokens += mHeldTokens;
        mRetiredUntilMilliseconds = Math.max(mRetiredUntilMilliseconds, mHeldUntilMilliseconds);
        mHeldTokens = 0;
    }
}
