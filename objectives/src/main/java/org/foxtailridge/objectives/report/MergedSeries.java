package org.foxtailridge.objectives.report;

import java.util.ArrayList;
import java.util.List;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.protocol.objectives.BurnSeries;

/** The counts of one series from all nodes together. */
final class MergedSeries {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final BurnSeries mFirst;
    private final MergedBuckets mMinutes;
    private final MergedBuckets mCoarse;

    MergedSeries(BurnSeries first, long nowMilliseconds) {
        mFirst = first;
        mMinutes =
                new MergedBuckets(
                        nowMilliseconds / ObjectiveCounters.MINUTE_MILLISECONDS,
                        ObjectiveCounters.MINUTES_KEPT);
        mCoarse =
                new MergedBuckets(
                        nowMilliseconds / Math.max(1, first.getCoarseBucketMs()),
                        ObjectiveCounters.COARSE_BUCKETS);
    }

    void add(BurnSeries series) {
        mMinutes.addAll(series.getMinutesList());
        mCoarse.addAll(series.getCoarseList());
    }

    BurnRow toRow() {
        long good = mCoarse.good(ObjectiveCounters.COARSE_BUCKETS);
        long bad = mCoarse.bad(ObjectiveCounters.COARSE_BUCKETS);
        double allowed = (1 - mFirst.getTarget()) * (good + bad);
        List<BurnRow.BurnRate> rates = new ArrayList<>();
        for (BurnWindow window : BurnWindow.values()) {
            if (window.length().toSeconds() <= mFirst.getWindowSeconds()) {
                rates.add(new BurnRow.BurnRate(window.label(), rate(window)));
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
                BurnAlert.of(this::rate));
    }

    boolean isEmpty() {
        return mCoarse.good(ObjectiveCounters.COARSE_BUCKETS) == 0
                && mCoarse.bad(ObjectiveCounters.COARSE_BUCKETS) == 0;
    }

    private double rate(BurnWindow window) {
        long length = window.length().toMillis();
        if (length > mFirst.getWindowSeconds() * MILLISECONDS_PER_SECOND) {
            return 0;
        }
        boolean fine = window.isFromMinutes();
        long bucket =
                fine
                        ? ObjectiveCounters.MINUTE_MILLISECONDS
                        : Math.max(1, mFirst.getCoarseBucketMs());
        MergedBuckets buckets = fine ? mMinutes : mCoarse;
        int newest = (int) Math.max(1, length / bucket);
        long bad = buckets.bad(newest);
        return share(bad, buckets.good(newest) + bad) / (1 - mFirst.getTarget());
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
