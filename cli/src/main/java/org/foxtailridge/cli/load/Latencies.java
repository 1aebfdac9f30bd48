package org.foxtailridge.cli.load;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/** Latencies of one sort, in microseconds. */
final class Latencies {
    private static final long HIGHEST_MICROSECONDS = Duration.ofHours(1).toNanos() / 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Histogram mHistogram = new Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS);

    void add(Duration latency) {
        long microseconds = Math.max(0, latency.toNanos() / 1_000);
        mHistogram.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
    }

    Histogram histogram() {
        return mHistogram;
    }

    Summary summary() {
        return new Summary(
                mHistogram.getTotalCount(),
                atPercentile(50),
                atPercentile(95),
                atPercentile(99),
                atPercentile(100));
    }

    private double atPercentile(double percentile) {
        return mHistogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }

    /**
     * Figures of latencies of one sort.
     *
     * @param count number of latencies
     * @param medianMs median, in milliseconds
     * @param p95Ms 95th percentile, in milliseconds
     * @param p99Ms 99th percentile, in milliseconds
     * @param maximumMs largest, in milliseconds
     */
    record Summary(long count, double medianMs, double p95Ms, double p99Ms, double maximumMs) {}
}
