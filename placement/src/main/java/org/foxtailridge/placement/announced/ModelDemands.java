package org.foxtailridge.placement.announced;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests under way for each model or adapter over all nodes; rises at once and falls slowly, so
 * that a short lull takes no copy away.
 */
final class ModelDemands {
    private static final double FORGOTTEN = 0.01;

    private final double mMemoryMilliseconds;
    private final long mReportLifeMilliseconds;
    private final Map<String, NodeDemand> mNodes = new HashMap<>();
    private final Map<String, Double> mSmoothed = new HashMap<>();
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
        double kept = Math.exp(-(now - mSmoothedMilliseconds) / mMemoryMilliseconds);
        mSmoothedMilliseconds = now;
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

    private record NodeDemand(Map<String, Double> underWay, long atMilliseconds) {}
}
