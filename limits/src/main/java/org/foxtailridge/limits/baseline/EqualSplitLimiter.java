package org.foxtailridge.limits.baseline;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * Limiter that gives each node the same fixed part of every rate and burst.
 *
 * <p>All nodes together stay within the limit as long as no more than the maximum number of nodes
 * run at once. Buckets start empty, since the node that this one replaces may have used its part.
 *
 * <pre>{@code
 * TokenLimiter limiter = new EqualSplitLimiter(clock, 9, 10_000);
 * }</pre>
 */
public final class EqualSplitLimiter extends LocalLimiter {
    private static final long MILLI_TOKENS_PER_TOKEN = 1_000;

    private final Map<ClientAccountName, TokenBucket> mBuckets = new HashMap<>();
    private final int mMaximumNodes;

    /**
     * Creates a limiter.
     *
     * @param clock clock of the node
     * @param maximumNodes maximum number of nodes that run at once, over all data centres
     * @param maximumOpenReservations maximum number of reservations that are not settled
     */
    public EqualSplitLimiter(Clock clock, int maximumNodes, int maximumOpenReservations) {
        super(clock, maximumOpenReservations);
        if (maximumNodes < 1) {
            throw new IllegalArgumentException(
                    "maximumNodes must be at least 1 but was " + maximumNodes);
        }
        mMaximumNodes = maximumNodes;
    }

    @Override
    public void limitChanged(ClientAccountName account, TokenLimit limit) {
        long rate = limit.rateTokensPerSecond() * MILLI_TOKENS_PER_TOKEN / mMaximumNodes;
        long burst = limit.burstTokens() / mMaximumNodes;
        TokenBucket bucket =
                mBuckets.computeIfAbsent(account, name -> new TokenBucket(rate, burst, now()));
        bucket.refill(now());
        bucket.setLimit(rate, burst);
    }

    @Override
    public void limitRemoved(ClientAccountName account) {
        mBuckets.remove(account);
    }

    @Override
    TokenBucket bucketOf(ClientAccountName account) {
        return mBuckets.get(account);
    }
}
