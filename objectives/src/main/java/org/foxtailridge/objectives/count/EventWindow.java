package org.foxtailridge.objectives.count;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.foxtailridge.protocol.objectives.BurnBucket;

/**
 * Good and bad events in buckets of equal length, the newest ones only. Buckets are numbered from
 * the epoch, so that those of several nodes can be added. Used by one thread.
 */
final class EventWindow {
    private final long mBucketMilliseconds;
    private final int mMaximumBuckets;
    private final NavigableMap<Long, Counts> mBuckets = new TreeMap<>();

    EventWindow(long bucketMilliseconds, int maximumBuckets) {
        mBucketMilliseconds = bucketMilliseconds;
        mMaximumBuckets = maximumBuckets;
    }

    void add(long atMilliseconds, long good, long bad) {
        addToBucket(atMilliseconds / mBucketMilliseconds, good, bad, atMilliseconds);
    }

    void addAll(List<BurnBucket> buckets, long nowMilliseconds) {
        for (BurnBucket bucket : buckets) {
            addToBucket(bucket.getIndex(), bucket.getGood(), bucket.getBad(), nowMilliseconds);
        }
    }

    List<BurnBucket> buckets(long nowMilliseconds) {
        expire(nowMilliseconds);
        List<BurnBucket> buckets = new ArrayList<>();
        for (Map.Entry<Long, Counts> entry : mBuckets.entrySet()) {
            buckets.add(
                    BurnBucket.newBuilder()
                            .setIndex(entry.getKey())
                            .setGood(entry.getValue().mGood)
                            .setBad(entry.getValue().mBad)
                            .build());
        }
        return buckets;
    }

    private void addToBucket(long index, long good, long bad, long nowMilliseconds) {
        Counts counts = mBuckets.computeIfAbsent(index, key -> new Counts());
        counts.mGood += good;
        counts.mBad += bad;
        expire(nowMilliseconds);
    }

    private void expire(long nowMilliseconds) {
        long oldest = nowMilliseconds / mBucketMilliseconds - mMaximumBuckets + 1;
        mBuckets.headMap(oldest, false).clear();
    }

    private static final class Counts {
        private long mGood;
        private long mBad;
    }
}
