package org.foxtailridge.placement.plan;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.ModelDemand;

/**
 * Adds up the demand that nodes report and smooths it, so that bursts of seconds move nothing. A
 * node that has not reported for a while counts for nothing.
 *
 * <pre>{@code
 * DemandTracker demand = new DemandTracker(Duration.ofMinutes(1), Duration.ofSeconds(30), clock);
 * demand.report(demandReport);
 * demand.smooth().forEach(planner::demand);
 * }</pre>
 */
public final class DemandTracker {
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.001;

    private final Duration mTimeConstant;
    private final Duration mReportLife;
    private final Clock mClock;
    private final Map<String, NodeDemand> mNodes = new HashMap<>();
    private final Map<String, Double> mSmoothed = new HashMap<>();
    private Instant mSmoothedAt;

    /**
     * Creates a tracker without demand.
     *
     * @param timeConstant time in which the smoothed demand follows two thirds of a change
     * @param reportLife time after which a node's last report counts for nothing
     * @param clock clock of the node
     */
    public DemandTracker(Duration timeConstant, Duration reportLife, Clock clock) {
        mTimeConstant = Objects.requireNonNull(timeConstant, "timeConstant");
        mReportLife = Objects.requireNonNull(reportLife, "reportLife");
        mClock = Objects.requireNonNull(clock, "clock");
        mSmoothedAt = clock.instant();
    }

    /** Replaces what a node has reported. */
    public void report(DemandReport report) {
        mNodes.put(report.getNode(), new NodeDemand(report, mClock.instant()));
    }

    /** Returns the smoothed demand of each model as of now, in tokens a second. */
    public Map<String, Double> smooth() {
        Instant now = mClock.instant();
        mNodes.values().removeIf(node -> !now.isBefore(node.at().plus(mReportLife)));
        double seconds = Duration.between(mSmoothedAt, now).toNanos() / 1e9;
        double weight = 1 - Math.exp(-seconds * 1e9 / mTimeConstant.toNanos());
        mSmoothedAt = now;
        Map<String, Double> sums = sums();
        mSmoothed.replaceAll((model, tokens) -> tokens * (1 - weight));
        sums.forEach((model, tokens) -> mSmoothed.merge(model, tokens * weight, Double::sum));
        Map<String, Double> result = new HashMap<>(mSmoothed);
        mSmoothed.values().removeIf(tokens -> tokens < NEGLIGIBLE_TOKENS_PER_SECOND);
        return result;
    }

    private Map<String, Double> sums() {
        Map<String, Double> sums = new HashMap<>();
        for (NodeDemand node : mNodes.values()) {
            for (ModelDemand demand : node.report().getModelsList()) {
                sums.merge(demand.getModel(), demand.getTokensPerSecond(), Double::sum);
            }
        }
        return sums;
    }

    private record NodeDemand(DemandReport report, Instant at) {}
}
