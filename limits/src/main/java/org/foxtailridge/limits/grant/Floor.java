package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * The part of a limit that belongs to this node alone, cut off or not.
 *
 * <p>Tokens lent to the home node count as outstanding until the home node has said that it took
 * them, or can't take them any more.
 */
final class Floor {
    private static final long LEND_ABOVE_QUARTERS = 3;
    private static final long QUARTERS = 4;

    private final TokenBucket mBucket;
    private final long mActiveFromMilliseconds;
    private LimitParts mParts;
    private long mLentTokens;
    private long mLendFromMilliseconds;

    Floor(LimitParts parts, long activeFromMilliseconds, long nowMilliseconds) {
        mParts = parts;
        mActiveFromMilliseconds = activeFromMilliseconds;
        mBucket = new TokenBucket(0, 0, nowMilliseconds);
        advance(nowMilliseconds);
    }

    void advance(long nowMilliseconds) {
        mBucket.advance(nowMilliseconds);
        if (nowMilliseconds >= mActiveFromMilliseconds) {
            mBucket.change(mParts.floorMilliTokensPerSecond(), mParts.floorCapacityTokens());
        }
    }

    void change(LimitParts parts, long nowMilliseconds) {
        mBucket.advance(nowMilliseconds);
        mParts = parts;
        advance(nowMilliseconds);
    }

    boolean take(long tokens) {
        return mBucket.take(tokens);
    }

    long stamp() {
        return mBucket.stamp();
    }

    void giveBack(long stamp, long tokens) {
        mBucket.giveBack(stamp, tokens);
    }

    long takeUpTo(long tokens) {
        long taken = Math.min(tokens, mBucket.level());
        mBucket.take(taken);
        return taken;
    }

    /** Returns whether there is enough to lend that a message is worth it. */
    boolean hasToLend(long nowMilliseconds) {
        return mLentTokens == 0
                && nowMilliseconds >= mLendFromMilliseconds
                && mBucket.capacity() > 0
                && mBucket.level() * QUARTERS >= mBucket.capacity() * LEND_ABOVE_QUARTERS;
    }

    /** Takes what is above half of the capacity out of the floor, to be lent. */
    long lend(long nowMilliseconds) {
        long surplus = mBucket.level() - mBucket.capacity() / 2;
        if (mLentTokens > 0 || nowMilliseconds < mLendFromMilliseconds || surplus <= 0) {
            return 0;
        }
        mBucket.take(surplus);
        mLentTokens = surplus;
        mBucket.outstanding(surplus);
        return surplus;
    }

    /** Ends a loan: the home node has taken the tokens or can't take them any more. */
    void endLoan(long nowMilliseconds, long lendAfterMilliseconds) {
        mLentTokens = 0;
        mBucket.outstanding(0);
        mLendFromMilliseconds = nowMilliseconds + lendAfterMilliseconds;
    }
}
