package org.foxtailridge.objectives.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailridge.protocol.objectives.BurnCounts;
import org.foxtailridge.protocol.objectives.BurnSeries;

/**
 * Burn of all objectives over all nodes that answered, the worst-served client account first.
 *
 * <p>Events of nodes that could not be reached are missing; they are neither good nor bad.
 *
 * <pre>{@code
 * BurnReport report =
 *         BurnReport.builder(clock.millis()).add(counts).unreachable("node-3").build();
 * ReportText.render(report);
 * }</pre>
 *
 * @param asOfMs instant of the report, in milliseconds since the epoch
 * @param complete whether every node was reached and every event was counted
 * @param reachedNodes nodes whose counts are included
 * @param unreachedNodes nodes whose counts are missing
 * @param uncountedEvents events that nodes did not count, as they had too many series
 * @param rows rows, those of the worst-served client account first
 */
public record BurnReport(
        long asOfMs,
        boolean complete,
        List<String> reachedNodes,
        List<String> unreachedNodes,
        long uncountedEvents,
        List<BurnRow> rows) {
    /** Copies the lists. */
    public BurnReport {
        reachedNodes = List.copyOf(reachedNodes);
        unreachedNodes = List.copyOf(unreachedNodes);
        rows = List.copyOf(rows);
    }

    /**
     * Returns a builder.
     *
     * @param asOfMs instant of the report, in milliseconds since the epoch
     */
    public static Builder builder(long asOfMs) {
        return new Builder(asOfMs);
    }

    /** Builds a {@link BurnReport}. */
    public static final class Builder {
        private final long mAsOfMs;
        private final Map<SeriesKey, MergedSeries> mMerged = new LinkedHashMap<>();
        private final List<BurnCounts> mHandingOn = new ArrayList<>();
        private final Set<String> mAbsorbed = new HashSet<>();
        private final List<String> mReached = new ArrayList<>();
        private final List<String> mUnreached = new ArrayList<>();
        private long mUncounted;

        private Builder(long asOfMs) {
            mAsOfMs = asOfMs;
        }

        /** Adds the counts of a node. Only those that are on their way to another node are kept. */
        public Builder add(BurnCounts counts) {
            mReached.add(counts.getNode());
            mAbsorbed.addAll(counts.getAbsorbedIdsList());
            if (counts.getHandingOnId().isEmpty()) {
                merge(counts);
            } else {
                mHandingOn.add(counts);
            }
            return this;
        }

        /** Names a node whose counts are missing. */
        public Builder unreachable(String node) {
            mUnreached.add(node);
            return this;
        }

        /** Returns the report. */
        public BurnReport build() {
            mHandingOn.stream()
                    .filter(counts -> !mAbsorbed.contains(counts.getHandingOnId()))
                    .forEach(this::merge);
            mHandingOn.clear();
            return new BurnReport(
                    mAsOfMs,
                    mUnreached.isEmpty() && mUncounted == 0,
                    mReached.stream().sorted().toList(),
                    mUnreached.stream().sorted().toList(),
                    mUncounted,
                    rows(mMerged));
        }

        private void merge(BurnCounts counts) {
            mUncounted += counts.getUncountedEvents();
            for (BurnSeries series : counts.getSeriesList()) {
                mMerged.computeIfAbsent(
                                SeriesKey.of(series), key -> new MergedSeries(series, mAsOfMs))
                        .add(series);
            }
        }

        private List<BurnRow> rows(Map<SeriesKey, MergedSeries> merged) {
            List<BurnRow> rows = new ArrayList<>();
            for (MergedSeries series : merged.values()) {
                if (!series.isEmpty()) {
                    rows.add(series.toRow());
                }
            }
            Map<String, Double> worst = new HashMap<>();
            rows.forEach(row -> worst.merge(row.clientAccount(), row.budgetLeft(), Math::min));
            Comparator<BurnRow> worstAccountFirst =
                    Comparator.comparingDouble(row -> worst.get(row.clientAccount()));
            rows.sort(
                    worstAccountFirst
                            .thenComparing(BurnRow::clientAccount)
                            .thenComparingDouble(BurnRow::budgetLeft)
                            .thenComparing(BurnRow::objective)
                            .thenComparing(BurnRow::route));
            return rows;
        }
    }

    private record SeriesKey(
            String objective, String route, String clientAccount, double target, long window) {
        private static SeriesKey of(BurnSeries series) {
            return new SeriesKey(
                    series.getObjective(),
                    series.getRoute(),
                    series.getClientAccount(),
                    series.getTarget(),
                    series.getWindowSeconds());
        }
    }
}
