package org.foxtailridge.limits.grant;

import java.util.Map;
import java.util.TreeMap;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.UnusedTokens;

/**
 * Collects the tokens that a node gives to the home node and reports them in numbered batches:
 * unused tokens (reported as spent, but not used by the request), returned tokens (granted, and not
 * reported as spent) and lent tokens (surplus of the node's floor).
 *
 * <p>At most one batch is pending. It is sent unchanged with each request until the home node has
 * acknowledged its number, so that a lost or duplicated message neither loses nor duplicates
 * tokens.
 */
final class ReportBatch {
    private static final int MAXIMUM_ENTRIES = 32;

    private final TreeMap<Long, Long> mUnused = new TreeMap<>();
    private final TreeMap<Long, Long> mPendingUnused = new TreeMap<>();
    private long mBatchNumber;
    private long mLentTokens;
    private long mReturnedTokens;
    private long mPendingReturnedTokens;
    private boolean mIsPending;

    /**
     * Adds unused tokens to the next batch. Beyond the maximum number of entries the two oldest are
     * merged under the older stamp, which may reduce the refund but never increases it.
     *
     * @param stamp stamp of the origin of the tokens
     * @param tokens tokens that were reported as spent and not used
     */
    void addUnused(long stamp, long tokens) {
        mUnused.merge(stamp, tokens, Long::sum);
        if (mUnused.size() > MAXIMUM_ENTRIES) {
            Map.Entry<Long, Long> oldest = mUnused.pollFirstEntry();
            Map.Entry<Long, Long> second = mUnused.pollFirstEntry();
            mUnused.put(oldest.getKey(), oldest.getValue() + second.getValue());
        }
    }

    /** Adds granted tokens that were not reported as spent to the next batch. */
    void addReturned(long tokens) {
        mReturnedTokens += tokens;
    }

    /** Returns whether a batch awaits acknowledgement; added tokens then go into the next one. */
    boolean isPending() {
        return mIsPending;
    }

    boolean hasTokens() {
        return mIsPending || !mUnused.isEmpty() || mReturnedTokens > 0;
    }

    /** Adds the pending batch to a request, or starts a new one, with surplus of the floor lent. */
    void addTo(GrantRequest.Builder request, FloorBucket floor, long nowMilliseconds) {
        if (!mIsPending) {
            start(floor, nowMilliseconds);
        }
        if (!mIsPending) {
            return;
        }
        request.setBatch(mBatchNumber)
                .setLentTokens(mLentTokens)
                .setReturnedTokens(mPendingReturnedTokens);
        mPendingUnused.forEach(
                (stamp, tokens) ->
                        request.addUnused(
                                UnusedTokens.newBuilder().setStamp(stamp).setTokens(tokens)));
    }

    /** Ends the pending batch if the home node has acknowledged its number. */
    void acknowledge(
            long batch, FloorBucket floor, long nowMilliseconds, long lendAfterMilliseconds) {
        if (mIsPending && batch == mBatchNumber) {
            mIsPending = false;
            mPendingUnused.clear();
            floor.clearLent(nowMilliseconds, lendAfterMilliseconds);
        }
    }

    /** Drops all tokens, as a new home node accepts none from grants of the former one. */
    void clear(FloorBucket floor, long nowMilliseconds) {
        mUnused.clear();
        mPendingUnused.clear();
        mIsPending = false;
        mReturnedTokens = 0;
        floor.clearLent(nowMilliseconds, 0);
    }

    private void start(FloorBucket floor, long nowMilliseconds) {
        mLentTokens = floor.lend(nowMilliseconds);
        if (mLentTokens == 0 && mReturnedTokens == 0 && mUnused.isEmpty()) {
            return;
        }
        mBatchNumber++;
        mIsPending = true;
        mPendingReturnedTokens = mReturnedTokens;
        mReturnedTokens = 0;
        mPendingUnused.putAll(mUnused);
        mUnused.clear();
    }
}
