package org.foxtailridge.bench.objectives;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.foxtailridge.bench.ComparisonTable;
import org.foxtailridge.configuration.model.Measure;
import org.foxtailridge.configuration.model.Objective;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.objectives.count.ObjectiveCounters;
import org.foxtailridge.objectives.count.RequestOutcome;
import org.foxtailridge.objectives.report.BurnReport;
import org.foxtailridge.protocol.objectives.BurnCounts;

/**
 * Measures time and memory of counting against the number of series, and the time of a report
 * against the number of nodes. Real time, so its figures vary.
 *
 * <p>Counters are filled as over a whole window: every bucket of every series holds events.
 */
public final class BurnCost {
    private static final int[] ROUTES = {4, 33, 167, 667};
    private static final int[] NODES = {3, 30, 300, 1_100};
    private static final int NODE_ROUTES = 33;
    private static final int BUCKETS = 720;
    private static final int MEASURED_REQUESTS = 200_000;
    private static final long WINDOW_SECONDS = 2_592_000;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final List<Objective> OBJECTIVES =
            List.of(
                    objective("first-token", Measure.FIRST_TOKEN, 550, 0.95),
                    objective("between-tokens", Measure.BETWEEN_TOKENS, 45, 0.95),
                    objective("whole-answers", Measure.AVAILABILITY, 0, 0.999));

    private final MonotonicClock mRealTime = MonotonicClock.start();
    private final ManualClock mClock = ManualClock.atEpoch();

    private BurnCost() {}

    /** Prints both tables. */
    public static void main(String[] arguments) {
        System.out.print(new BurnCost().counting().toText());
        System.out.print(new BurnCost().reporting().toText());
    }

    private ComparisonTable counting() {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        "counting burn",
                        List.of("series", "request ns", "state KB", "answer KB", "answer ms"));
        for (int routes : ROUTES) {
            long before = usedBytes();
            ObjectiveCounters counters = filled(routes);
            long state = usedBytes() - before;
            double request = requestNanoseconds(counters, routes);
            Instant start = mRealTime.instant();
            BurnCounts counts = counters.counts();
            double answer = millisecondsSince(start);
            table.row(
                    List.of(
                            String.valueOf(routes * OBJECTIVES.size()),
                            format(request),
                            String.valueOf(state / 1_000),
                            String.valueOf(counts.getSerializedSize() / 1_000),
                            format(answer)));
        }
        return table.build();
    }

    private ComparisonTable reporting() {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        "reporting burn", List.of("nodes", "series of a node", "merge ms"));
        BurnCounts counts = filled(NODE_ROUTES).counts();
        for (int nodes : NODES) {
            List<Double> times = new ArrayList<>();
            for (int repetition = 0; repetition < 5; repetition++) {
                times.add(mergeMilliseconds(counts, nodes));
            }
            times.sort(Double::compare);
            table.row(
                    List.of(
                            String.valueOf(nodes),
                            String.valueOf(counts.getSeriesCount()),
                            format(times.get(times.size() / 2))));
        }
        return table.build();
    }

    private double mergeMilliseconds(BurnCounts counts, int nodes) {
        Instant start = mRealTime.instant();
        BurnReport.Builder report = BurnReport.builder(mClock.millis());
        for (int node = 0; node < nodes; node++) {
            report.add(counts);
        }
        report.build();
        return millisecondsSince(start);
    }

    private ObjectiveCounters filled(int routes) {
        ObjectiveCounters counters = ObjectiveCounters.create("node", mClock, Integer.MAX_VALUE);
        counters.configure(OBJECTIVES);
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            for (int route = 0; route < routes; route++) {
                counters.record(outcome(route));
            }
            mClock.advance(Duration.ofSeconds(WINDOW_SECONDS / BUCKETS));
        }
        return counters;
    }

    private double requestNanoseconds(ObjectiveCounters counters, int routes) {
        for (int request = 0; request < MEASURED_REQUESTS; request++) {
            counters.record(outcome(request % routes));
        }
        Instant start = mRealTime.instant();
        for (int request = 0; request < MEASURED_REQUESTS; request++) {
            counters.record(outcome(request % routes));
        }
        return Duration.between(start, mRealTime.instant()).toNanos() / (double) MEASURED_REQUESTS;
    }

    private double millisecondsSince(Instant start) {
        return Duration.between(start, mRealTime.instant()).toNanos() / NANOSECONDS_PER_MILLISECOND;
    }

    private static RequestOutcome outcome(int route) {
        return new RequestOutcome(
                "route-" + route,
                "account-" + route % 5,
                Optional.of(Duration.ofMillis(route)),
                Optional.of(Duration.ofMillis(route)),
                Optional.of(Duration.ofMillis(1_000)));
    }

    private static Objective objective(
            String name, Measure measure, long thresholdMilliseconds, double target) {
        return new Objective(
                name, "*", "*", measure, thresholdMilliseconds, target, WINDOW_SECONDS);
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
