package org.foxtailridge.limits.baseline;

import java.time.Clock;
import java.util.Objects;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * Limiter with one token bucket for each client account, which enforces the limit exactly.
 *
 * <p>Several limiters over the same {@link SharedBuckets} simulate nodes that share memory, which
 * real nodes can't do. A single node can use the limiter as it is.
 *
 * <pre>{@code
 * TokenLimiter limiter = new SingleBucketLimiter(clock, new SharedBuckets(), 10_000);
 * }</pre>
 */
public final class SingleBucketLimiter extends LocalLimiter {
    private final SharedBuckets mBuckets;

    /**
     * Creates a limiter.
     *
     * @param clock clock of the node
     * @param buckets buckets of all client accounts
     * @param maximumOpenReservations maximum number of reservations that are not settled
     */
    public SingleBucketLimiter(Clock clock, SharedBuckets buckets, int maximumOpenReservations) {
        super(clock, maximumOpenReservations);
        mBuckets = Objects.requireNonNull(buckets, "buckets");
    }

    @Override
    public void limitChanged(ClientAccountName account, TokenLimit limit) {
        mBuckets.change(account, limit, now());
    }

    @Override
    public void limitRemoved(ClientAccountName account) {
        mBuckets.remove(account);
    }

    @Override
    TokenBucket bucketOf(ClientAccountName account) {
        return mBuckets.bucketOf(account);
    }
}
