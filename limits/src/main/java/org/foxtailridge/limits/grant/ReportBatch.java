package org.foxtailridge.limits.grant;

import java.util.Map;
import java.util.TreeMap;
import org.foxtailridge.protocol.limits.GrantRequest;
import org.foxtailridge.protocol.limits.UnusedTokens;

/**
 * Collects unused and lent tokens and reports them to the home node in numbered batches.
 *
 * <p>One batch is under way at a time and is repeated unchanged until the home node has named its
 * number, so that a lost or doubled message neither loses nor doubles tokens.
 */
final class ReportBatch {
    private static final int MAXIMUM_ENTRIES = 32;

    private final TreeMap<Long, Long> mCollected = new TreeMap<>();
    private final TreeMap<Long, Long> mUnderWay = new TreeMap<>();
    private long mBatch;
    private long mLentTokens;
    private long mReturnedTokens;
    private long mReturnedUnderWay;
    private boolean mIsUnderWay;

    void addUnused(long stamp, long tokens) {
        mCollected.merge(stamp, tokens, Long::sum);
        if (mCollected.size() > MAXIMUM_ENTRIES) {
            Map.Entry<Long, Long> oldest = mCollected.pollFirstEntry();
            Map.Entry<Long, Long> second = mCollected.pollFirstEntry();
            mCollected.put(oldest.getKey(), oldest.getValue() + second.getValue());
        }
    }

    /** Collects granted tokens that were not spent. */
    void addReturned(long tokens) {
        mReturnedTokens += tokens;
    }

    /**
     * Returns whether a batch waits to be taken; what is collected meanwhile goes into the next.
     */
    boolean isPending() {
        return mIsUnderWay;
    }

    boolean hasTokens() {
        return mIsUnderWay || !mCollected.isEmpty() || mReturnedTokens > 0;
    }

    /** Puts the batch under way, or a new one with a loan from the floor, into a request. */
    void addTo(GrantRequest.Builder request, FloorBucket floor, long nowMilliseconds) {
        if (!mIsUnderWay) {
            start(floor, nowMilliseconds);
        }
        if (!mIsUnderWay) {
            return;
        }
        request.setBatch(mBatch).setLentTokens(mLentTokens).setReturnedTokens(mReturnedUnderWay);
        mUnderWay.forEach(
                (stamp, tokens) ->
                        request.addUnused(
                                UnusedTokens.newBuilder().setStamp(stamp).setTokens(tokens)));
    }

    /** Ends the batch under way if the home node has taken it. */
    void acknowledge(
            long batch, FloorBucket floor, long nowMilliseconds, long lendAfterMilliseconds) {
        if (mIsUnderWay && batch == mBatch) {
            mIsUnderWay = false;
            mUnderWay.clear();
            floor.clearLent(nowMilliseconds, lendAfterMilliseconds);
        }
    }

    /** Forgets all, as a new home node gives nothing back for grants of the one before. */
    void clear(FloorBucket floor, long nowMilliseconds) {
        mCollected.clear();
        mUnderWay.clear();
        mIsUnderWay = false;
        mReturnedTokens = 0;
        floor.clearLent(nowMilliseconds, 0);
    }

    private void start(FloorBucket floor, long nowMilliseconds) {
        mLentTokens = floor.lend(nowMilliseconds);
        if (mLentTokens == 0 && mReturnedTokens == 0 && mCollected.isEmpty()) {
            return;
        }
        mBatch++;
        mIsUnderWay = true;
        mReturnedUnderWay = mReturnedTokens;
        mReturnedTokens = 0;
        mUnderWay.putAll(mCollected);
        mCollected.clear();
    }
}
