package org.foxtailridge.bench.membership;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Compares probes of few nodes with heartbeats between all nodes of a data centre, at 9 nodes and
 * at 1,098.
 */
public final class ProbeComparison implements Comparison {
    private static final Duration START = Duration.ofSeconds(30);
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final int NOTICE_LIMIT_SECONDS = 60;
    private static final int HEARTBEAT_BYTES = 120;
    private static final List<String> COLUMNS =
            List.of(
                    "way",
                    "nodes",
                    "lost",
                    "bytes/s a node at start",
                    "bytes/s a node idle",
                    "death known to all after s");

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table = ComparisonTable.builder("live nodes", COLUMNS);
        addHeartbeats(table, 3, 3);
        addHeartbeats(table, 3, 122);
        addProbes(table, seed, 3, 3, 0);
        addProbes(table, seed, 3, 3, 0.02);
        addProbes(table, seed, 3, 122, 0);
        addProbes(table, seed, 3, 122, 0.02);
        return table.build();
    }

    /** A heartbeat a second to each other node of the data centre; dead after three missed. */
    private static void addHeartbeats(ComparisonTable.Builder table, int dataCentres, int nodes) {
        String bytes = Integer.toString((nodes - 1) * HEARTBEAT_BYTES);
        table.row(
                List.of(
                        "heartbeats to all of the data centre",
                        Integer.toString(dataCentres * nodes),
                        "0.00",
                        bytes,
                        bytes,
                        "3"));
    }

    private static void addProbes(
            ComparisonTable.Builder table,
            long seed,
            int dataCentres,
            int nodes,
            double lossShare) {
        ProbingFleet fleet = new ProbingFleet(seed, dataCentres, nodes, lossShare);
        fleet.run(START);
        double atStart = (double) fleet.takeBytes() / START.toSeconds() / fleet.size();
        fleet.run(SETTLE);
        fleet.takeBytes();
        fleet.run(IDLE);
        double idle = (double) fleet.takeBytes() / IDLE.toSeconds() / fleet.size();
        fleet.kill(ProbingFleet.nameOf(0));
        int seconds = 0;
        while (fleet.noticedBy(ProbingFleet.nameOf(0)) < fleet.size()
                && seconds < NOTICE_LIMIT_SECONDS) {
            fleet.run(Duration.ofSeconds(1));
            seconds++;
        }
        table.row(
                List.of(
                        "probes",
                        Integer.toString(dataCentres * nodes),
                        text("%.2f", lossShare),
                        text("%.0f", atStart),
                        text("%.0f", idle),
                        seconds < NOTICE_LIMIT_SECONDS
                                ? Integer.toString(seconds)
                                : "not within " + NOTICE_LIMIT_SECONDS));
    }

    private static String text(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }
}
