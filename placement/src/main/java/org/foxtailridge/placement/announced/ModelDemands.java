package org.foxtailridge.placement.announced;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests under way for each model or adapter over all nodes; rises at once and falls slowly, so
 * that a short lull takes no copy away.
 */
final class ModelDemands {
    private static final double FORGOTTEN = 0.01;
    // Long enough to even out single requests, short beside the loads of several seconds that a
    // rise is to be seen ahead of.
    private static final double TREND_MILLISECONDS = 1_500;
    // A rise is not taken to go on for further than this many times the level.
    private static final double MOST_GROWTH = 2;

    private final double mMemoryMilliseconds;
    private final long mReportLifeMilliseconds;
    private final Map<String, NodeDemand> mNodes = new HashMap<>();
    private final Map<String, Double> mSmoothed = new HashMap<>();
    private final Map<String, Trend> mTrends = new HashMap<>();
    private long mSmoothedMilliseconds;
    private boolean mKnown;

    ModelDemands(double memoryMilliseconds, long reportLifeMilliseconds) {
        mMemoryMilliseconds = memoryMilliseconds;
        mReportLifeMilliseconds = reportLifeMilliseconds;
    }

    void report(String node, Map<String, Double> underWay, long now) {
        mNodes.put(node, new NodeDemand(Map.copyOf(underWay), now));
    }

    void smooth(long now) {
        mNodes.values().removeIf(demand -> now - demand.atMilliseconds() > mReportLifeMilliseconds);
        Map<String, Double> sums = new HashMap<>();
        for (NodeDemand demand : mNodes.values()) {
            demand.underWay().forEach((name, count) -> sums.merge(name, count, Double::sum));
        }
        double elapsed = now - mSmoothedMilliseconds;
        double kept = Math.exp(-elapsed / mMemoryMilliseconds);
        mSmoothedMilliseconds = now;
        followTrends(sums, elapsed);
        mSmoothed.replaceAll(
                (name, level) -> {
                    double current = sums.getOrDefault(name, 0.0);
                    return Math.max(current, current + (level - current) * kept);
                });
        mKnown |= !sums.isEmpty();
        sums.forEach((name, current) -> mSmoothed.merge(name, current, Math::max));
        mSmoothed.values().removeIf(level -> level < FORGOTTEN);
    }

    /** Returns whether anything was asked for yet; until then what engines hold is all there is. */
    boolean isKnown() {
        return mKnown;
    }

    double of(String name) {
        return mSmoothed.getOrDefault(name, 0.0);
    }

    /**
     * Returns the demand that is likely some time ahead: a rise goes on, a fall is not foreseen.
     *
     * @param name model or adapter
     * @param seconds time ahead
     */
    double ahead(String name, double seconds) {
        double level = of(name);
        Trend trend = mTrends.get(name);
        double growth = trend == null ? 0 : Math.max(0, trend.perSecond() * seconds);
        return level + Math.min(growth, level * (MOST_GROWTH - 1));
    }

    private void followTrends(Map<String, Double> sums, double elapsedMilliseconds) {
        sums.keySet().forEach(name -> mTrends.putIfAbsent(name, Trend.NONE));
        mTrends.replaceAll(
                (name, trend) -> trend.next(sums.getOrDefault(name, 0.0), elapsedMilliseconds));
        mTrends.values().removeIf(trend -> trend.slow() < FORGOTTEN);
    }

    /**
     * Two means of a level, over a shorter and a longer time; their difference tells how it moves.
     *
     * @param fast mean over the shorter time
     * @param slow mean of the first mean, which lags behind it
     */
    private record Trend(double fast, double slow) {
        private static final Trend NONE = new Trend(0, 0);
        private static final double MILLISECONDS_PER_SECOND = 1_000;

        private Trend next(double level, double elapsedMilliseconds) {
            double share = 1 - Math.exp(-elapsedMilliseconds / TREND_MILLISECONDS);
            double faster = fast + share * (level - fast);
            return new Trend(faster, slow + share * (faster - slow));
        }

        private double perSecond() {
            return (fast - slow) * MILLISECONDS_PER_SECOND / TREND_MILLISECONDS;
        }
    }

    private record NodeDemand(Map<String, Double> underWay, long atMilliseconds) {}
}
