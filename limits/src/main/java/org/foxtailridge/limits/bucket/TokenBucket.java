package org.foxtailridge.limits.bucket;

/**
 * A token bucket on a clock of milliseconds, exact to a millionth of a token.
 *
 * <p>Tokens that are outstanding elsewhere count as if they were still inside: level plus
 * outstanding never exceeds the capacity. The sum of tokens used in any window is therefore at most
 * capacity plus rate times the length of the window, each token counted at the instant at which it
 * was taken.
 */
public final class TokenBucket {
    private static final long MICRO = 1_000_000;

    private final HeadroomHistory mHistory = new HeadroomHistory();
    private long mMilliTokensPerSecond;
    private long mCapacityMicroTokens;
    private long mLevelMicroTokens;
    private long mOutstandingTokens;
    private long mNowMilliseconds;
    private long mStamp;

    /**
     * Creates an empty bucket.
     *
     * @param milliTokensPerSecond refill in thousandths of a token a second
     * @param capacityTokens most tokens inside and outstanding
     * @param nowMilliseconds instant of creation
     */
    public TokenBucket(long milliTokensPerSecond, long capacityTokens, long nowMilliseconds) {
        mMilliTokensPerSecond = milliTokensPerSecond;
        mCapacityMicroTokens = capacityTokens * MICRO;
        mNowMilliseconds = nowMilliseconds;
        recordHeadroom();
    }

    /** Refills up to an instant; an instant before the last one has no effect. */
    public void refill(long nowMilliseconds) {
        long elapsed = nowMilliseconds - mNowMilliseconds;
        if (elapsed <= 0) {
            return;
        }
        mNowMilliseconds = nowMilliseconds;
        long room = Math.max(0, headroom());
        long needed = mMilliTokensPerSecond == 0 ? Long.MAX_VALUE : room / mMilliTokensPerSecond;
        long refill = elapsed > needed ? room : elapsed * mMilliTokensPerSecond;
        if (mMilliTokensPerSecond > 0) {
            mLevelMicroTokens += refill;
        }
        recordHeadroom();
    }

    /** Changes rate and capacity; tokens above the new capacity are dropped. */
    public void setLimit(long milliTokensPerSecond, long capacityTokens) {
        mMilliTokensPerSecond = milliTokensPerSecond;
        mCapacityMicroTokens = capacityTokens * MICRO;
        dropExcess();
    }

    /** Sets how many tokens may still be used elsewhere; more than fit push out the level. */
    public void setOutstanding(long tokens) {
        mOutstandingTokens = tokens;
        dropExcess();
    }

    /** Takes tokens if there are as many; {@link #stamp} then tells this taking from others. */
    public boolean tryTake(long tokens) {
        if (tokens > level()) {
            return false;
        }
        mLevelMicroTokens -= tokens * MICRO;
        mStamp++;
        recordHeadroom();
        return true;
    }

    /** Adds tokens of another bucket as far as they fit; returns how many. */
    public long add(long tokens) {
        long added = Math.min(tokens, Math.max(0, headroom()) / MICRO);
        mLevelMicroTokens += added * MICRO;
        recordHeadroom();
        return added;
    }

    /**
     * Gives back tokens that were taken and not used.
     *
     * @param stamp stamp of the taking, or of one before it
     * @param tokens tokens not used
     * @return tokens given back; fewer when the bucket would have been full in between
     */
    public long refund(long stamp, long tokens) {
        long given = mHistory.refund(stamp, tokens * MICRO) / MICRO;
        mLevelMicroTokens += given * MICRO;
        return given;
    }

    /** Fills the bucket. */
    public void fill() {
        mLevelMicroTokens = Math.max(mLevelMicroTokens, mLevelMicroTokens + headroom());
        recordHeadroom();
    }

    /** Returns the number of the last taking; it grows by one with each. */
    public long stamp() {
        return mStamp;
    }

    /** Returns a new stamp; tokens given back under it are bounded by what follows only. */
    public long newStamp() {
        mStamp++;
        recordHeadroom();
        return mStamp;
    }

    /** Returns the whole tokens inside. */
    public long level() {
        return mLevelMicroTokens / MICRO;
    }

    /** Returns the capacity in tokens. */
    public long capacity() {
        return mCapacityMicroTokens / MICRO;
    }

    /** Returns the milliseconds until the bucket holds this many tokens at its rate. */
    public long millisecondsUntil(long tokens) {
        long missing = tokens * MICRO - mLevelMicroTokens;
        if (missing <= 0) {
            return 0;
        }
        return missing / Math.max(1, mMilliTokensPerSecond) + 1;
    }

    private void dropExcess() {
        long excess = -headroom();
        if (excess > 0) {
            mLevelMicroTokens = Math.max(0, mLevelMicroTokens - excess);
        }
        recordHeadroom();
    }

    private long headroom() {
        return mCapacityMicroTokens - mLevelMicroTokens - mOutstandingTokens * MICRO;
    }

    private void recordHeadroom() {
        mHistory.add(mStamp, headroom());
    }
}
