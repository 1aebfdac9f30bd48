package org.foxtailridge.limits.bucket;

/**
 * Token bucket with a resolution of one millisecond and a millionth of a token.
 *
 * <p>Outstanding tokens, which may still be used on another node, count against the capacity: level
 * plus outstanding tokens never exceed it. In any window the tokens acquired are therefore at most
 * the capacity plus the rate times the length of the window, where each token counts at the instant
 * at which it was acquired.
 *
 * <p>Each successful {@link #tryAcquire} has its own {@link #stamp}, under which unused tokens can
 * be refunded later. Not thread-safe.
 *
 * <pre>{@code
 * TokenBucket bucket = new TokenBucket(100_000, 300, nowMilliseconds);
 * bucket.refill(nowMilliseconds + 1_000);
 * if (bucket.tryAcquire(80)) {
 *     long stamp = bucket.stamp();
 *     bucket.refund(stamp, 30);
 * }
 * }</pre>
 */
public final class TokenBucket {
    private static final long MICRO_TOKENS_PER_TOKEN = 1_000_000;

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
     * @param milliTokensPerSecond refill rate in thousandths of a token a second
     * @param capacityTokens maximum of level and outstanding tokens together
     * @param nowMilliseconds instant of creation
     */
    public TokenBucket(long milliTokensPerSecond, long capacityTokens, long nowMilliseconds) {
        mMilliTokensPerSecond = milliTokensPerSecond;
        mCapacityMicroTokens = capacityTokens * MICRO_TOKENS_PER_TOKEN;
        mNowMilliseconds = nowMilliseconds;
        recordHeadroom();
    }

    /** Refills the bucket up to an instant; an instant before the last one has no effect. */
    public void refill(long nowMilliseconds) {
        long elapsed = nowMilliseconds - mNowMilliseconds;
        if (elapsed <= 0) {
            return;
        }
        mNowMilliseconds = nowMilliseconds;
        long freeMicroTokens = Math.max(0, headroom());
        long millisecondsUntilFull =
                mMilliTokensPerSecond == 0
                        ? Long.MAX_VALUE
                        : freeMicroTokens / mMilliTokensPerSecond;
        long refill =
                elapsed > millisecondsUntilFull ? freeMicroTokens : elapsed * mMilliTokensPerSecond;
        if (mMilliTokensPerSecond > 0) {
            mLevelMicroTokens += refill;
        }
        recordHeadroom();
    }

    /** Sets rate and capacity; tokens above the new capacity are dropped. */
    public void setLimit(long milliTokensPerSecond, long capacityTokens) {
        mMilliTokensPerSecond = milliTokensPerSecond;
        mCapacityMicroTokens = capacityTokens * MICRO_TOKENS_PER_TOKEN;
        dropExcess();
    }

    /**
     * Sets the outstanding tokens, which may still be used on another node. If level and
     * outstanding tokens together exceed the capacity, the level is reduced.
     */
    public void setOutstanding(long tokens) {
        mOutstandingTokens = tokens;
        dropExcess();
    }

    /**
     * Acquires tokens if the level allows it; {@link #stamp} then returns their stamp.
     *
     * @return whether the tokens were acquired
     */
    public boolean tryAcquire(long tokens) {
        if (tokens > level()) {
            return false;
        }
        mLevelMicroTokens -= tokens * MICRO_TOKENS_PER_TOKEN;
        mStamp++;
        recordHeadroom();
        return true;
    }

    /** Adds tokens of another bucket up to the capacity; returns how many were added. */
    public long add(long tokens) {
        long added = Math.min(tokens, Math.max(0, headroom()) / MICRO_TOKENS_PER_TOKEN);
        mLevelMicroTokens += added * MICRO_TOKENS_PER_TOKEN;
        recordHeadroom();
        return added;
    }

    /**
     * Refunds tokens that were acquired and not used.
     *
     * @param stamp stamp under which the tokens were acquired, or an earlier one
     * @param tokens unused tokens
     * @return tokens refunded; fewer if the bucket would have been full in the meantime
     */
    public long refund(long stamp, long tokens) {
        long refunded =
                mHistory.refund(stamp, tokens * MICRO_TOKENS_PER_TOKEN) / MICRO_TOKENS_PER_TOKEN;
        mLevelMicroTokens += refunded * MICRO_TOKENS_PER_TOKEN;
        return refunded;
    }

    /** Refills the bucket to its capacity, less outstanding tokens. */
    public void fill() {
        mLevelMicroTokens = Math.max(mLevelMicroTokens, mLevelMicroTokens + headroom());
        recordHeadroom();
    }

    /** Returns the current stamp; each successful {@link #tryAcquire} increments it. */
    public long stamp() {
        return mStamp;
    }

    /** Increments the stamp; a refund under it is bounded only by the headroom from now on. */
    public long newStamp() {
        mStamp++;
        recordHeadroom();
        return mStamp;
    }

    /** Returns the available tokens, rounded down. */
    public long level() {
        return mLevelMicroTokens / MICRO_TOKENS_PER_TOKEN;
    }

    /** Returns the capacity in tokens. */
    public long capacity() {
        return mCapacityMicroTokens / MICRO_TOKENS_PER_TOKEN;
    }

    /** Returns the milliseconds until refill brings the level to this many tokens; 0 if it has. */
    public long millisecondsUntil(long tokens) {
        long missing = tokens * MICRO_TOKENS_PER_TOKEN - mLevelMicroTokens;
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
        return mCapacityMicroTokens
                - mLevelMicroTokens
                - mOutstandingTokens * MICRO_TOKENS_PER_TOKEN;
    }

    private void recordHeadroom() {
        mHistory.add(mStamp, headroom());
    }
}
