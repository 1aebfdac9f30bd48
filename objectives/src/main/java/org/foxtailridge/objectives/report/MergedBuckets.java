package org.foxtailridge.objectives.report;

import java.util.List;
import org.foxtailridge.protocol.objectives.BurnBucket;

/** Sums of the buckets of several nodes, the newest at the end. */
final class MergedBuckets {
    private final long mNewest;
    private final long[] mGood;
    private final long[] mBad;

    /**
     * Creates empty sums.
     *
     * @param newest number of the bucket that holds the present
     * @param buckets number of buckets kept
     */
    MergedBuckets(long newest, int buckets) {
        mNewest = newest;
        mGood = new long[buckets];
        mBad = new long[buckets];
    }

    /** Adds buckets; those ahead of the present, by a clock that is fast, count as present. */
    void addAll(List<BurnBucket> buckets) {
        for (BurnBucket bucket : buckets) {
            long age = Math.max(0, mNewest - bucket.getIndex());
            if (age < mGood.length) {
                int slot = mGood.length - 1 - (int) age;
                mGood[slot] += bucket.getGood();
                mBad[slot] += bucket.getBad();
            }
        }
    }

    /** Returns the good events of the newest buckets. */
    long good(int buckets) {
        return sumOfNewest(mGood, buckets);
    }

    /** Returns the bad events of the newest buckets. */
    long bad(int buckets) {
        return sumOfNewest(mBad, buckets);
    }

    private static long sumOfNewest(long[] counts, int buckets) {
        long sum = 0;
        for (int slot = Math.max(0, counts.length - buckets); slot < counts.length; slot++) {
            sum += counts[slot];
        }
        return sum;
    }
}
