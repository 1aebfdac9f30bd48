package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * The part of a limit that belongs to this node alone, cut off or not.
 *
 * <p>Tokens lent to the home node count as outstanding until the home node has said that it took
 * them, or can't take them any more.
 */
final class FloorBucket {
    private static final long LEND_ABOVE_EIGHTHS = 7;
    private static final long KEEP_EIGHTHS = 2;
    private static final long EIGHTHS = 8;

    private final TokenBucket mBucket;
    private final long mActiveFromMilliseconds;
    private LimitSplit mParts;
    private boolean mBegun;
    private long mLentTokens;
    private long mLendFromMilliseconds;

    FloorBucket(LimitSplit parts, long activeFromMilliseconds, long nowMilliseconds) {
        mParts = parts;
        mActiveFromMilliseconds = activeFromMilliseconds;
        mBucket = new TokenBucket(0, 0, nowMilliseconds);
        refill(nowMilliseconds);
    }

    void refill(long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        if (nowMilliseconds >= mActiveFromMilliseconds) {
            mBucket.setLimit(mParts.floorMilliTokensPerSecond(), mParts.floorCapacityTokens());
            if (!mBegun) {
                mBegun = true;
                mBucket.add(mParts.floorCapacityTokens() * mParts.initialFloorEighths() / EIGHTHS);
            }
        }
    }

    void setLimit(LimitSplit parts, long nowMilliseconds) {
        mBucket.refill(nowMilliseconds);
        mParts = parts;
        refill(nowMilliseconds);
    }

    boolean tryTake(long tokens) {
        return mBucket.tryTake(tokens);
    }

    long stamp() {
        return mBucket.stamp();
    }

    void refund(long stamp, long tokens) {
        mBucket.refund(stamp, tokens);
    }

    long takeUpTo(long tokens) {
        long taken = Math.min(tokens, mBucket.level());
        mBucket.tryTake(taken);
        return taken;
    }

    /** Returns whether there is enough to lend that a message is worth it. */
    boolean isLendingWorthwhile(long nowMilliseconds) {
        return mLentTokens == 0
                && nowMilliseconds >= mLendFromMilliseconds
                && mBucket.capacity() > 0
                && mBucket.level() * EIGHTHS >= mBucket.capacity() * LEND_ABOVE_EIGHTHS;
    }

    /** Returns whether anything can be lent. */
    boolean canLend(long nowMilliseconds) {
        return mLentTokens == 0 && nowMilliseconds >= mLendFromMilliseconds && surplus() > 0;
    }

    /** Takes what is above a quarter of the capacity out of the floor, to be lent. */
    long lend(long nowMilliseconds) {
        if (!canLend(nowMilliseconds)) {
            return 0;
        }
        long surplus = surplus();
        mBucket.tryTake(surplus);
        mLentTokens = surplus;
        mBucket.setOutstanding(surplus);
        return surplus;
    }

    private long surplus() {
        return mBucket.level() - mBucket.capacity() * KEEP_EIGHTHS / EIGHTHS;
    }

    /** Ends a loan: the home node has taken the tokens or can't take them any more. */
    void clearLent(long nowMilliseconds, long lendAfterMilliseconds) {
        mLentTokens = 0;
        mBucket.setOutstanding(0);
        mLendFromMilliseconds = nowMilliseconds + lendAfterMilliseconds;
    }
}
