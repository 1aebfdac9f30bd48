package org.foxtailridge.limits.baseline;

import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.core.name.ClientAccountName;
import org.foxtailridge.limits.TokenLimit;
import org.foxtailridge.limits.bucket.TokenBucket;

/**
 * Token buckets of all client accounts in the memory of one process, one for each account with the
 * whole limit. Buckets start full. Limiters of several nodes can share them.
 */
public final class SharedBuckets {
    private static final long MILLI_TOKENS_PER_TOKEN = 1_000;

    private final Map<ClientAccountName, TokenBucket> mBuckets = new HashMap<>();

    TokenBucket bucketOf(ClientAccountName account) {
        return mBuckets.get(account);
    }

    void change(ClientAccountName account, TokenLimit limit, long nowMilliseconds) {
        long rate = limit.rateTokensPerSecond() * MILLI_TOKENS_PER_TOKEN;
        TokenBucket bucket = mBuckets.get(account);
        if (bucket == null) {
            bucket = new TokenBucket(rate, limit.burstTokens(), nowMilliseconds);
            bucket.fill();
            mBuckets.put(account, bucket);
        }
        bucket.refill(nowMilliseconds);
        bucket.setLimit(rate, limit.burstTokens());
    }

    void remove(ClientAccountName account) {
        mBuckets.remove(account);
    }
}
