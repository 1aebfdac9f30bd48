package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * Token bucket of this node's floor: the part of one client account's limit that this node may use
 * without the home node, also while it can't reach it.
 *
 * <p>The bucket has no rate and no capacity until the instant from which the floor is active.
 * Surplus tokens are lent to the home node. Lent tokens count as outstanding until the home node
 * has acknowledged them, or can't accept them any more; until then the floor does not refill in
 * their place, so that level and lent tokens together stay within the capacity.
 */
final class FloorBucket {
    private static final long LEND_FROM_LEVEL_EIGHTHS = 7;
    private static final long KEPT_LEVEL_EIGHTHS = 2;
    private static final long EIGHTHS = 8;

    private final TokenBucket mBucket;
    private final long mActiveFromMilliseconds;
    private LimitSplit mSplit;
    private boolean mIsActive;
    private long mLentTokens;
    private long mLendingAllowedFromMilliseconds;

    FloorBucket(LimitSplit split, long activeFromMilliseconds, long nowMilliseconds) {
        mSplit = split;
        mActiveFromMilliseconds = activeFromMilliseconds;
        mBucket = new TokenBucket(0, 0, nowMilliseconds);
        refill(nowMilliseconds);
    }

    void refill(long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        if (nowMilliseconds >= mActiveFromMilliseconds) {
            mBucket.setLimit(mSplit.floorMilliTokensPerSecond(), mSplit.floorCapacityTokens());
            if (!mIsActive) {
                mIsActive = true;
                mBucket.add(mSplit.floorCapacityTokens() * mSplit.initialFloorEighths() / EIGHTHS);
            }
        }
    }

    void setLimit(LimitSplit split, long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        mSplit = split;
        refill(nowMilliseconds);
    }

    boolean tryAcquire(long tokens) {
        return mBucket.tryAcquire(tokens);
    }

    long stamp() {
        return mBucket.stamp();
    }

    void refund(long stamp, long tokens) {
        mBucket.refund(stamp, tokens);
    }

    /** Acquires at most this many tokens; returns how many. */
    long acquireUpTo(long tokens) {
        long acquired = Math.min(tokens, mBucket.level());
        mBucket.tryAcquire(acquired);
        return acquired;
    }

    /** Returns whether the surplus is large enough for a request of its own. */
    boolean isLendingWorthwhile(long nowMilliseconds) {
        return mLentTokens == 0
                && nowMilliseconds >= mLendingAllowedFromMilliseconds
                && mBucket.capacity() > 0
                && mBucket.level() * EIGHTHS >= mBucket.capacity() * LEND_FROM_LEVEL_EIGHTHS;
    }

    /** Returns whether there is surplus, no lent tokens are pending and lending is allowed. */
    boolean canLend(long nowMilliseconds) {
        return mLentTokens == 0
                && nowMilliseconds >= mLendingAllowedFromMilliseconds
                && surplus() > 0;
    }

    /** Removes the tokens above a quarter of the capacity, to be lent; returns how many. */
    long lend(long nowMilliseconds) {
        if (!canLend(nowMilliseconds)) {
            return 0;
        }
        long surplus = surplus();
        mBucket.tryAcquire(surplus);
        mLentTokens = surplus;
        mBucket.setOutstanding(surplus);
        return surplus;
    }

    private long surplus() {
        return mBucket.level() - mBucket.capacity() * KEPT_LEVEL_EIGHTHS / EIGHTHS;
    }

    /**
     * Stops counting lent tokens as outstanding, once the home node has accepted them or can't
     * accept them any more.
     *
     * @param nowMilliseconds instant by this node's clock
     * @param lendAfterMilliseconds time for which nothing is lent from now on
     */
    void clearLent(long nowMilliseconds, long lendAfterMilliseconds) {
        mLentTokens = 0;
        mBucket.setOutstanding(0);
        mLendingAllowedFromMilliseconds = nowMilliseconds + lendAfterMilliseconds;
    }
}
