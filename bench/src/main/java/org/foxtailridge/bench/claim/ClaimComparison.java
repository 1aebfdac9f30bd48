package org.foxtailridge.bench.claim;

import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Measures appends a second, their size, and the wait for a claim, by the least time between two
 * appends of a node; 0 milliseconds stands for one append for each call.
 */
public final class ClaimComparison implements Comparison {
    private static final int NODES = 9;
    private static final List<Integer> CALLS_PER_SECOND = List.of(9, 90, 350, 700, 1_750);
    private static final List<Integer> INTERVALS_MILLISECONDS = List.of(0, 20, 50, 100);

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        name(),
                        List.of(
                                "keyed calls/s",
                                "interval ms",
                                "appends/s",
                                "records/append",
                                "KB/s to log",
                                "wait p50 ms",
                                "wait p99 ms",
                                "not dispatched"));
        for (int calls : CALLS_PER_SECOND) {
            for (int interval : INTERVALS_MILLISECONDS) {
                table.row(row(calls, interval, seed));
            }
        }
        return table.build();
    }

    private static List<String> row(int calls, int interval, long seed) {
        ClaimRun run = new ClaimSimulation(NODES, calls, interval, seed).run();
        return List.of(
                Integer.toString(calls),
                Integer.toString(interval),
                String.format(Locale.ROOT, "%.1f", run.appendsPerSecond()),
                String.format(Locale.ROOT, "%.2f", run.recordsPerAppend()),
                String.format(Locale.ROOT, "%.1f", run.kilobytesPerSecond()),
                Long.toString(run.waits().getValueAtPercentile(50)),
                Long.toString(run.waits().getValueAtPercentile(99)),
                Long.toString(run.refused()));
    }
}
