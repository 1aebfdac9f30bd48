package org.foxtailridge.bench.routing;

import java.util.List;
import java.util.Locale;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Compares how the other client accounts fare when one sends four times its rate in a third of the
 * time and no limit stops it.
 *
 * <pre>{@code
 * System.out.print(new FairnessComparison().run(1).toText());
 * }</pre>
 */
public final class FairnessComparison implements Comparison {
    private static final List<Double> LOADS = List.of(3.0, 5.0);
    private static final List<String> COLUMNS =
            List.of(
                    "deployment",
                    "load",
                    "policy",
                    "others beside it within rate",
                    "others beside it above rate",
                    "worsened by");

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table = ComparisonTable.builder(name(), COLUMNS);
        for (Deployment deployment : List.of(Deployment.vitiStone(), Deployment.vozQuetzal())) {
            for (double load : LOADS) {
                for (Policy policy : Policy.values()) {
                    table.row(cells(deployment, load, policy, seed));
                }
            }
        }
        return table.build();
    }

    /** Returns by how much the attainment of the other accounts falls. */
    static double worsening(Deployment deployment, double load, Policy policy, long seed) {
        double requests = load * deployment.engines();
        List<Journey> within = Demand.of(deployment, seed, requests);
        List<Journey> above = Demand.withGreedyAccount(deployment, seed, requests);
        return others(deployment, within, policy, seed) - others(deployment, above, policy, seed);
    }

    private static List<String> cells(
            Deployment deployment, double load, Policy policy, long seed) {
        double requests = load * deployment.engines();
        List<Journey> within = Demand.of(deployment, seed, requests);
        List<Journey> above = Demand.withGreedyAccount(deployment, seed, requests);
        double before = others(deployment, within, policy, seed);
        double after = others(deployment, above, policy, seed);
        return List.of(
                deployment.name(),
                decimal(load),
                policy.label(),
                decimal(before),
                decimal(after),
                decimal(before - after));
    }

    private static double others(
            Deployment deployment, List<Journey> demand, Policy policy, long seed) {
        Simulation simulation = new Simulation(deployment, demand, policy, false, seed);
        simulation.run();
        List<Journey> others =
                simulation.journeys().stream()
                        .filter(journey -> !Demand.isGreedy(journey))
                        .toList();
        long attained = others.stream().filter(Journey::isAttained).count();
        return (double) attained / others.size();
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
