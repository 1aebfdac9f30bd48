package org.foxtailridge.limits.grant;

import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * The part of a limit that belongs to this node alone, cut off or not.
 *
 * <p>Tokens lent to the home node count as outstanding until the home node has said that it took
 * them, or can't take them any more.
 */
final class Floor {
    private static final long LEND_ABOVE_EIGHTHS = 7;
    private static final long KEEP_EIGHTHS = 2;
    private static final long EIGHTHS = 8;

    private final TokenBucket mBucket;
    private final long mActiveFromMilliseconds;
    private LimitParts mParts;
    private boolean mBegun;
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
            if (!mBegun) {
                mBegun = true;
                mBucket.add(mParts.floorCapacityTokens() * mParts.floorStartEighths() / EIGHTHS);
            }
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
        mBucket.take(surplus);
        mLentTokens = surplus;
        mBucket.outstanding(surplus);
        return surplus;
    }

    private long surplus() {
        return mBucket.level() - mBucket.capacity() * KEEP_EIGHTHS / EIGHTHS;
    }

    /** Ends a loan: the home node has taken the tokens or can't take them any more. */
    void endLoan(long nowMilliseconds, long lendAfterMilliseconds) {
        mLentTokens = 0;
        mBucket.outstanding(0);
        mLendFromMilliseconds = nowMilliseconds + lendAfterMilliseconds;
    }
}
