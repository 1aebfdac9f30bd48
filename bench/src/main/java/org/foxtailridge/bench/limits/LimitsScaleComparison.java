package org.foxtailridge.bench.limits;

import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Measures how messages and bytes of the limits grow with the number of nodes, for one client
 * account that is used on every node alike.
 */
public final class LimitsScaleComparison implements Comparison {
    private static final List<Integer> NODES = List.of(9, 36, 144);
    private static final long RATE_FOR_EACH_NODE = 2_000;
    private static final long BURST_FOR_EACH_NODE = 6_000;
    private static final double LOAD = 0.7;
    private static final int PERCENT = 100;

    @Override
    public String name() {
        return "limits-scale";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        name(),
                        List.of(
                                "nodes",
                                "refused inside rate %",
                                "tokens over",
                                "messages/s node",
                                "bytes/s node",
                                "bytes/s busiest"));
        NODES.forEach(nodes -> table.row(row(nodes, seed)));
        return table.build();
    }

    private static List<String> row(int nodes, long seed) {
        LimitedAccount account =
                LimitedAccount.of(
                        "account", RATE_FOR_EACH_NODE * nodes, BURST_FOR_EACH_NODE * nodes, LOAD);
        DemandScenario scenario =
                new DemandScenario(
                        "scale",
                        nodes,
                        List.of(account),
                        DemandScenario.Callers.EVEN,
                        DemandScenario.Fault.NONE);
        LimitsRun exact = new LimitsSimulation(scenario, LimiterPolicy.singleBucket(), seed).run();
        LimitsRun run = new LimitsSimulation(scenario, LimiterPolicy.grants(nodes), seed).run();
        List<LimitedRequest> requests = new LimitsDemand(scenario, seed).requests();
        double refused = new RefusalCount(requests, exact).share(run, request -> true);
        return List.of(
                Integer.toString(nodes),
                String.format(Locale.ROOT, "%.3f", refused * PERCENT),
                Long.toString(run.overTokens()),
                String.format(Locale.ROOT, "%.1f", run.messagesPerSecond()),
                String.format(Locale.ROOT, "%.0f", run.bytesPerSecond()),
                String.format(Locale.ROOT, "%.0f", run.mostBytesPerSecond()));
    }
}
