package org.foxtailridge.objectives.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.protocol.objectives.BurnBucket;
import org.foxtailridge.protocol.objectives.BurnSeries;

/** The counts of one series from all nodes together. */
final class MergedSeries {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final BurnSeries mFirst;
    private final TreeMap<Long, BurnBucket> mMinutes = new TreeMap<>();
    private final TreeMap<Long, BurnBucket> mCoarse = new TreeMap<>();

    MergedSeries(BurnSeries first) {
        mFirst = first;
    }

    void add(BurnSeries series) {
        series.getMinutesList().forEach(bucket -> add(mMinutes, bucket));
        series.getCoarseList().forEach(bucket -> add(mCoarse, bucket));
    }

    BurnRow toRow(long nowMilliseconds) {
        long good = mCoarse.values().stream().mapToLong(BurnBucket::getGood).sum();
        long bad = mCoarse.values().stream().mapToLong(BurnBucket::getBad).sum();
        double allowed = (1 - mFirst.getTarget()) * (good + bad);
        List<BurnRow.BurnRate> rates = new ArrayList<>();
        for (BurnWindow window : BurnWindow.values()) {
            if (window.length().toSeconds() <= mFirst.getWindowSeconds()) {
                rates.add(new BurnRow.BurnRate(window.label(), rate(window, nowMilliseconds)));
            }
        }
        return new BurnRow(
                mFirst.getClientAccount(),
                mFirst.getRoute(),
                mFirst.getObjective(),
                mFirst.getTarget(),
                mFirst.getWindowSeconds(),
                good,
                bad,
                share(good, good + bad),
                1 - bad / allowed,
                rates,
                BurnAlert.of(window -> rate(window, nowMilliseconds)));
    }

    boolean isEmpty() {
        return mCoarse.values().stream().allMatch(b -> b.getGood() + b.getBad() == 0);
    }

    private double rate(BurnWindow window, long nowMilliseconds) {
        Duration length = window.length();
        if (length.toMillis() > mFirst.getWindowSeconds() * MILLISECONDS_PER_SECOND) {
            return 0;
        }
        long bucket =
                window.isFromMinutes()
                        ? ObjectiveCounters.MINUTE_MILLISECONDS
                        : mFirst.getCoarseBucketMs();
        TreeMap<Long, BurnBucket> buckets = window.isFromMinutes() ? mMinutes : mCoarse;
        long oldest = nowMilliseconds / bucket - Math.max(1, length.toMillis() / bucket) + 1;
        long good = 0;
        long bad = 0;
        for (BurnBucket counted : buckets.tailMap(oldest, true).values()) {
            good += counted.getGood();
            bad += counted.getBad();
        }
        return share(bad, good + bad) / (1 - mFirst.getTarget());
    }

    private static void add(TreeMap<Long, BurnBucket> buckets, BurnBucket bucket) {
        buckets.merge(
                bucket.getIndex(),
                bucket,
                (one, other) ->
                        one.toBuilder()
                                .setGood(one.getGood() + other.getGood())
                                .setBad(one.getBad() + other.getBad())
                                .build());
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
