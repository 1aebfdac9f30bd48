package org.foxtailridge.limits.grant;

/**
 * State that a home node keeps for one holder, a process on another node or its own to which it
 * grants tokens: the last request, the last accepted batch and the outstanding tokens.
 */
final class HolderSession {
    private long mIncarnation;
    private long mRequestNumber;
    private long mAcceptedBatch;
    private long mHeldTokens;
    private long mHeldExpiryMilliseconds;
    private long mFormerIncarnationTokens;
    private long mFormerIncarnationExpiryMilliseconds;
    private long mDeferredTokens;
    private long mLastRequestMilliseconds;

    /**
     * Accepts a request if it is newer than all requests before it.
     *
     * <p>A higher incarnation means that the process was replaced. Tokens of the former incarnation
     * then stay outstanding until they expire, as the former process may still run.
     *
     * @return whether the request is accepted; false for duplicates and late requests
     */
    boolean acceptRequest(long incarnation, long number, long nowMilliseconds) {
        if (incarnation < mIncarnation) {
            return false;
        }
        if (incarnation > mIncarnation) {
            startIncarnation();
            mIncarnation = incarnation;
            mRequestNumber = 0;
            mAcceptedBatch = 0;
        }
        if (number <= mRequestNumber) {
            return false;
        }
        mRequestNumber = number;
        mLastRequestMilliseconds = nowMilliseconds;
        return true;
    }

    /**
     * Sets the tokens that the holder still has. Grants that it has not received by now are not
     * counted, as it ignores answers to requests before its last one.
     *
     * @return tokens that were outstanding and are not any more
     */
    long updateHeldTokens(long heldTokens) {
        long freed = Math.max(0, mHeldTokens - heldTokens);
        mHeldTokens = heldTokens;
        return freed;
    }

    /** Returns whether the last grant has not expired, so that its tokens count as outstanding. */
    boolean hasUnexpiredGrant(long nowMilliseconds) {
        return nowMilliseconds < mHeldExpiryMilliseconds;
    }

    void addGrant(long tokens, long expiryMilliseconds) {
        mHeldTokens += tokens;
        mHeldExpiryMilliseconds = expiryMilliseconds;
    }

    /** Stops counting tokens that have expired at the holder. */
    void expire(long nowMilliseconds) {
        if (nowMilliseconds >= mHeldExpiryMilliseconds) {
            mHeldTokens = 0;
        }
        if (nowMilliseconds >= mFormerIncarnationExpiryMilliseconds) {
            mFormerIncarnationTokens = 0;
        }
    }

    /** Returns the tokens that the holder may still spend, of all its incarnations. */
    long outstandingTokens() {
        return mHeldTokens + mFormerIncarnationTokens;
    }

    long acceptedBatch() {
        return mAcceptedBatch;
    }

    void setAcceptedBatch(long batch) {
        mAcceptedBatch = batch;
    }

    long lastRequestMilliseconds() {
        return mLastRequestMilliseconds;
    }

    /**
     * Adds granted tokens that are deducted from the bucket only at the holder's next request.
     * Happens only when {@link GrantRules#deductsBeforeSending} is overridden to return false.
     */
    void deferDeduction(long tokens) {
        mDeferredTokens += tokens;
    }

    /** Returns the tokens that are still to be deducted from the bucket, and resets them to 0. */
    long removeDeferredTokens() {
        long deferred = mDeferredTokens;
        mDeferredTokens = 0;
        return deferred;
    }

    private void startIncarnation() {
        mFormerIncarnationTokens += mHeldTokens;
        mFormerIncarnationExpiryMilliseconds =
                Math.max(mFormerIncarnationExpiryMilliseconds, mHeldExpiryMilliseconds);
        mHeldTokens = 0;
    }
}
