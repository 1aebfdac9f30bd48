package org.foxtailridge.bench.configuration;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;
import org.foxtailridge.configuration.fold.ConfigurationState;
import org.foxtailridge.configuration.model.EntryKey;
import org.foxtailridge.configuration.model.Plan;
import org.foxtailridge.configuration.record.Change;
import org.foxtailridge.configuration.record.Edit;
import org.foxtailridge.configuration.record.RecordCodec;

/**
 * Compares ways to bring edits to all nodes, at 9 nodes and at 1,098, with 0 and 2 in 100 messages
 * between nodes lost. Edits come at the rate of 16,000 a day.
 */
public final class PropagationComparison implements Comparison {
    private static final int EDITS = 12;
    private static final Duration BETWEEN_EDITS = Duration.ofMillis(5_400);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final List<String> COLUMNS =
            List.of(
                    "way",
                    "nodes",
                    "lost",
                    "median s",
                    "largest s",
                    "bytes/s a node",
                    "reads/s of the log");

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table = ComparisonTable.builder("edits in force", COLUMNS);
        for (RelayPolicy policy : RelayPolicy.values()) {
            addRow(table, policy, 3, 3, 0, seed);
            addRow(table, policy, 3, 3, 0.02, seed);
            addRow(table, policy, 9, 122, 0, seed);
            addRow(table, policy, 9, 122, 0.02, seed);
        }
        return table.build();
    }

    private static void addRow(
            ComparisonTable.Builder table,
            RelayPolicy policy,
            int dataCentres,
            int nodes,
            double lossShare,
            long seed) {
        RelayFleet fleet = new RelayFleet(seed, policy, dataCentres, nodes, lossShare);
        fleet.run(Duration.ofSeconds(5));
        fleet.takeBytes();
        fleet.takeReads();
        long[] took = new long[EDITS];
        for (int number = 0; number < EDITS; number++) {
            fleet.append(edit(number, fleet.state()));
            Duration passed = fleet.runUntilAt(number, LIMIT);
            took[number] = passed.toMillis();
            Duration rest = BETWEEN_EDITS.minus(passed);
            if (!rest.isNegative()) {
                fleet.run(rest);
            }
        }
        Arrays.sort(took);
        double seconds = EDITS * BETWEEN_EDITS.toMillis() / 1_000.0;
        table.row(
                List.of(
                        policy.description(),
                        Integer.toString(fleet.size()),
                        text("%.2f", lossShare),
                        text("%.1f", took[EDITS / 2] / 1_000.0),
                        text("%.1f", took[EDITS - 1] / 1_000.0),
                        text("%.0f", fleet.takeBytes() / seconds / fleet.size()),
                        text("%.1f", fleet.takeReads() / seconds)));
    }

    private static String edit(int number, ConfigurationState state) {
        Plan plan = Plan.builder("gold").rateTokensPerSecond(1_000 + number).build();
        long base = state.versionOf(EntryKey.of(plan));
        return RecordCodec.write(
                new Edit("edit-" + number, "bench", List.of(Change.set(plan, base))));
    }

    private static String text(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }
}
