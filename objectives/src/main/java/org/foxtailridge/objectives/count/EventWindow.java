package org.foxtailridge.objectives.count;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.protocol.objectives.BurnBucket;

/**
 * Good and bad events in a ring of buckets of equal length, the newest ones only. Buckets are
 * numbered from the epoch, so that those of several nodes can be added. Used by one thread.
 */
final class EventWindow {
    private final long mBucketMilliseconds;
    private final int[] mGood;
    private final int[] mBad;
    private long mNewest = -1;

    EventWindow(long bucketMilliseconds, int buckets) {
        mBucketMilliseconds = bucketMilliseconds;
        mGood = new int[buckets];
        mBad = new int[buckets];
    }

    void add(long atMilliseconds, int good, int bad) {
        addToBucket(atMilliseconds / mBucketMilliseconds, good, bad);
    }

    void addAll(List<BurnBucket> buckets) {
        for (BurnBucket bucket : buckets) {
            addToBucket(bucket.getIndex(), bucket.getGood(), bucket.getBad());
        }
    }

    List<BurnBucket> buckets(long nowMilliseconds) {
        long now = nowMilliseconds / mBucketMilliseconds;
        long oldest = Math.max(Math.max(0, oldestKept()), now - mGood.length + 1);
        List<BurnBucket> buckets = new ArrayList<>();
        for (long index = oldest; index <= mNewest; index++) {
            int slot = slotOf(index);
            if (mGood[slot] != 0 || mBad[slot] != 0) {
                buckets.add(
                        BurnBucket.newBuilder()
                                .setIndex(index)
                                .setGood(mGood[slot])
                                .setBad(mBad[slot])
                                .build());
            }
        }
        return buckets;
    }

    private void addToBucket(long index, long good, long bad) {
        advanceTo(index);
        if (index < oldestKept()) {
            return;
        }
        int slot = slotOf(index);
        mGood[slot] = saturated(mGood[slot] + good);
        mBad[slot] = saturated(mBad[slot] + bad);
    }

    /** Empties the buckets between the newest one and a newer one. */
    private void advanceTo(long index) {
        long from = Math.max(mNewest, index - mGood.length) + 1;
        for (long emptied = from; emptied <= index; emptied++) {
            mGood[slotOf(emptied)] = 0;
            mBad[slotOf(emptied)] = 0;
        }
        mNewest = Math.max(mNewest, index);
    }

    private long oldestKept() {
        return mNewest - mGood.length + 1;
    }

    private int slotOf(long index) {
        return (int) (index % mGood.length);
    }

    private static int saturated(long count) {
        return (int) Math.min(count, Integer.MAX_VALUE);
    }
}
