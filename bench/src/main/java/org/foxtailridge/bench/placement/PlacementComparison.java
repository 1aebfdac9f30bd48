package org.foxtailridge.bench.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.foxtailridge.bench.Comparison;
import org.foxtailridge.bench.ComparisonTable;

/**
 * Compares the planner with a static placement and with a greedy one that plans from scratch each
 * minute, over three hours of the same demand on both deployments.
 *
 * <p>A token is served in time when an engine that holds its model has capacity in that second. An
 * engine is lost at the end of the second hour and comes back empty five minutes later.
 */
public final class PlacementComparison implements Comparison {
    private static final int SECONDS = 3 * 3_600;
    private static final int WARM_UP_SECONDS = 600;
    private static final int CRASH_SECOND = 2 * 3_600;
    private static final int BACK_SECOND = CRASH_SECOND + 300;
    private static final double TOKENS_PER_SECOND = 2_500;
    private static final double USUAL_LOAD = 0.3;
    private static final int ROUNDS_OF_ROUTING = 4;

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public ComparisonTable run(long seed) {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        "placement, seed " + seed,
                        List.of(
                                "deployment",
                                "policy",
                                "attainment",
                                "tokens/s per accelerator",
                                "moves",
                                "undone in 10 min",
                                "model seconds unreachable",
                                "longest s until reachable"));
        for (Deployment deployment : Deployment.ALL) {
            table.row(row(deployment, "planner", seed, Strategies::planner));
            table.row(row(deployment, "static", seed, fleet -> Strategies.fixed()));
            table.row(row(deployment, "greedy each minute", seed, fleet -> Strategies.greedy()));
        }
        return table.build();
    }

    private static List<String> row(
            Deployment deployment,
            String policy,
            long seed,
            Function<BenchFleet, Strategy> strategies) {
        BenchFleet fleet = new BenchFleet(deployment);
        Strategy strategy = strategies.apply(fleet);
        double usual = deployment.workers() * TOKENS_PER_SECOND * USUAL_LOAD;
        Demand demand = new Demand(seed, deployment.models(), usual);
        Figures figures = new Figures(deployment.models());
        for (int second = 0; second < SECONDS; second++) {
            fleet.advance(second, demand.at(second));
            crashAndReturn(fleet, second);
            fleet.carryOut(strategy.steps(fleet, second));
            if (second >= WARM_UP_SECONDS) {
                figures.add(fleet);
            }
        }
        return figures.row(deployment, policy, fleet);
    }

    /** Takes the engine with the most models away for a while. */
    private static void crashAndReturn(BenchFleet fleet, int second) {
        if (second == CRASH_SECOND) {
            fleet.mEngines.get(0).crash();
        } else if (second == BACK_SECOND) {
            fleet.mEngines.get(0).mLive = true;
        }
    }

    /** Sums over a run. */
    private static final class Figures {
        private final int[] mUnreachableSeconds;
        private double mWanted;
        private double mServed;
        private int mUnreachable;
        private int mLongest;

        Figures(int models) {
            mUnreachableSeconds = new int[models];
        }

        void add(BenchFleet fleet) {
            double[] left = fleet.mTokens.clone();
            double[] capacity = new double[fleet.mEngines.size()];
            Arrays.fill(capacity, TOKENS_PER_SECOND);
            for (double tokens : left) {
                mWanted += tokens;
            }
            List<List<BenchFleet.Engine>> holders = new ArrayList<>();
            for (int model = 0; model < left.length; model++) {
                holders.add(fleet.holders(model));
                noteReachability(model, holders.get(model).isEmpty());
            }
            for (int round = 0; round < ROUNDS_OF_ROUTING; round++) {
                serve(fleet, holders, left, capacity);
            }
        }

        List<String> row(Deployment deployment, String policy, BenchFleet fleet) {
            int seconds = SECONDS - WARM_UP_SECONDS;
            long moves = fleet.loadSeconds().stream().filter(at -> at >= WARM_UP_SECONDS).count();
            return List.of(
                    deployment.name(),
                    policy,
                    String.format(Locale.ROOT, "%.4f", mServed / mWanted),
                    String.format(Locale.ROOT, "%.0f", mServed / seconds / deployment.workers()),
                    String.valueOf(moves),
                    String.valueOf(fleet.mUndone),
                    String.valueOf(mUnreachable),
                    String.valueOf(mLongest));
        }

        /** Serves the models with the fewest copies first, each from the freest engines. */
        private void serve(
                BenchFleet fleet,
                List<List<BenchFleet.Engine>> holders,
                double[] left,
                double[] capacity) {
            List<Integer> models = new ArrayList<>();
            for (int model = 0; model < left.length; model++) {
                models.add(model);
            }
            models.sort(Comparator.comparingInt(model -> holders.get(model).size()));
            for (int model : models) {
                for (BenchFleet.Engine engine : holders.get(model)) {
                    int at = fleet.mEngines.indexOf(engine);
                    double tokens = Math.min(left[model] / holders.get(model).size(), capacity[at]);
                    left[model] -= tokens;
                    capacity[at] -= tokens;
                    mServed += tokens;
                }
            }
        }

        private void noteReachability(int model, boolean unreachable) {
            mUnreachableSeconds[model] = unreachable ? mUnreachableSeconds[model] + 1 : 0;
            mUnreachable += unreachable ? 1 : 0;
            mLongest = Math.max(mLongest, mUnreachableSeconds[model]);
        }
    }

    /** Prints the tables of the seeds given as arguments. */
    public static void main(String[] arguments) {
        for (String seed : arguments) {
            System.out.println(new PlacementComparison().run(Long.parseLong(seed)).toText());
        }
    }
}
