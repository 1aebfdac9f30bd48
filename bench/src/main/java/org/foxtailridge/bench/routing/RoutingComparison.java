package org.foxtailridge.bench.routing;

import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Compares the chosen policy of routing with round robin and least in flight.
 *
 * <p>Rows: both deployments, with and without faults, at several loads. The load is given as
 * requests of mean size for each accelerator and second.
 *
 * <pre>{@code
 * System.out.print(new RoutingComparison().run(1).toText());
 * }</pre>
 */
public final class RoutingComparison implements Comparison {
    private static final List<Double> LOADS = List.of(3.0, 5.0, 7.0);
    private static final List<String> COLUMNS =
            List.of(
                    "deployment",
                    "faults",
                    "load",
                    "policy",
                    "requests",
                    "attained/accelerator/s",
                    "of round robin",
                    "attainment",
                    "worst account",
                    "mean account",
                    "refused",
                    "broken",
                    "first token p95 ms",
                    "between tokens p95 ms",
                    "retries",
                    "preempted");

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table = ComparisonTable.builder(name(), COLUMNS);
        for (Deployment deployment : List.of(Deployment.vitiStone(), Deployment.vozQuetzal())) {
            for (boolean faults : List.of(false, true)) {
                for (double load : LOADS) {
                    addRows(table, deployment, faults, load, seed);
                }
            }
        }
        return table.build();
    }

    private static void addRows(
            ComparisonTable.Builder table,
            Deployment deployment,
            boolean faults,
            double load,
            long seed) {
        List<Journey> demand = Demand.of(deployment, seed, load * deployment.engines());
        double roundRobin = 0;
        for (Policy policy : Policy.values()) {
            Outcome outcome = new Simulation(deployment, demand, policy, faults, seed).run();
            if (policy == Policy.ROUND_ROBIN) {
                roundRobin = outcome.attainedPerAcceleratorSecond();
            }
            table.row(cells(deployment, faults, load, policy, outcome, roundRobin));
        }
    }

    private static List<String> cells(
            Deployment deployment,
            boolean faults,
            double load,
            Policy policy,
            Outcome outcome,
            double roundRobin) {
        return List.of(
                deployment.name(),
                faults ? "yes" : "no",
                decimal(load),
                policy.label(),
                Integer.toString(outcome.requests()),
                decimal(outcome.attainedPerAcceleratorSecond()),
                decimal(outcome.attainedPerAcceleratorSecond() / roundRobin),
                decimal(outcome.attainment()),
                decimal(outcome.worstAccount()),
                decimal(outcome.meanAccount()),
                Integer.toString(outcome.refused()),
                Integer.toString(outcome.broken()),
                decimal(outcome.firstTokenMilliseconds()),
                decimal(outcome.betweenTokensMilliseconds()),
                Integer.toString(outcome.retried()),
                Integer.toString(outcome.preempted()));
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
