package org.foxtailridge.bench.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.placement.plan.DemandTracker;
import org.foxtailridge.placement.plan.ModelNeed;
import org.foxtailridge.placement.plan.PlacementPlanner;
import org.foxtailridge.placement.plan.PlannerSettings;
import org.foxtailridge.protocol.placement.DemandReport;
import org.foxtailridge.protocol.placement.ModelDemand;

/** The planner and the policies that it is compared with. */
final class Strategies {
    private static final int GREEDY_SECONDS = 60;

    private Strategies() {}

    /** Runs the planner each second on smoothed demand. */
    static Strategy planner(BenchFleet fleet) {
        PlacementPlanner planner = new PlacementPlanner(PlannerSettings.defaults(), fleet.mClock);
        planner.models(fleet.mNeeds);
        DemandTracker tracker =
                new DemandTracker(Duration.ofMinutes(1), Duration.ofSeconds(30), fleet.mClock);
        return (current, second) -> {
            tracker.report(report(current));
            tracker.smooth().forEach(planner::demand);
            current.mEngines.forEach(engine -> planner.update(engine.view()));
            return planner.plan(current.mDeployment.loadsAtOnce());
        };
    }

    /** Gives each model one home and moves it only when that home is lost. */
    static Strategy fixed() {
        return (fleet, second) -> {
            List<OrderRequest> steps = new ArrayList<>();
            for (ModelNeed need : fleet.mNeeds) {
                if (fleet.mEngines.stream().noneMatch(engine -> holds(engine, need))) {
                    fleet.mEngines.stream()
                            .filter(engine -> engine.mLive && fits(engine, need))
                            .max(Comparator.comparingLong(BenchFleet.Engine::freeBytes))
                            .ifPresent(engine -> steps.add(load(engine, need)));
                }
            }
            return steps;
        };
    }

    /** Plans from scratch by the demand of the moment each minute; in between restores homes. */
    static Strategy greedy() {
        Strategy fixed = fixed();
        return new Strategy() {
            private List<Set<String>> mTarget = List.of();

            @Override
            public List<OrderRequest> steps(BenchFleet fleet, int second) {
                if (second % GREEDY_SECONDS == 0) {
                    mTarget = target(fleet);
                }
                List<OrderRequest> steps = new ArrayList<>(fixed.steps(fleet, second));
                for (int at = 0; at < mTarget.size(); at++) {
                    towards(fleet, fleet.mEngines.get(at), mTarget.get(at), steps);
                }
                return steps;
            }
        };
    }

    private static List<Set<String>> target(BenchFleet fleet) {
        long[] free = new long[fleet.mEngines.size()];
        double[] busy = new double[free.length];
        List<Set<String>> target = new ArrayList<>();
        for (int at = 0; at < free.length; at++) {
            free[at] = fleet.mEngines.get(at).mLive ? Deployment.MEMORY_BYTES : 0;
            target.add(new HashSet<>());
        }
        int[] copies = new int[fleet.mNeeds.size()];
        while (place(fleet, target, free, busy, copies)) {
            // Each pass gives one more copy to the model with the most demand for each copy.
        }
        return target;
    }

    private static boolean place(
            BenchFleet fleet, List<Set<String>> target, long[] free, double[] busy, int[] copies) {
        List<Integer> models = new ArrayList<>();
        for (int model = 0; model < copies.length; model++) {
            models.add(model);
        }
        models.sort(
                Comparator.comparing((Integer model) -> copies[model] > 0)
                        .thenComparing(model -> -fleet.mTokens[model] / (copies[model] + 1)));
        for (int model : models) {
            ModelNeed need = fleet.mNeeds.get(model);
            int best = -1;
            for (int at = 0; at < free.length; at++) {
                boolean fits =
                        free[at] >= need.footprintBytes()
                                && !target.get(at).contains(need.model().name());
                best = fits && (best < 0 || busy[at] < busy[best]) ? at : best;
            }
            if (best >= 0) {
                target.get(best).add(need.model().name());
                free[best] -= need.footprintBytes();
                busy[best] += fleet.mTokens[model] / (copies[model] + 1);
                copies[model]++;
                return true;
            }
        }
        return false;
    }

    private static void towards(
            BenchFleet fleet,
            BenchFleet.Engine engine,
            Set<String> wanted,
            List<OrderRequest> steps) {
        for (int model = 0; model < fleet.mNeeds.size(); model++) {
            ModelNeed need = fleet.mNeeds.get(model);
            boolean wants = wanted.contains(need.model().name());
            boolean held = holds(engine, need);
            if (wants && !held && engine.mLive && fits(engine, need)) {
                steps.add(load(engine, need));
            } else if (!wants && held && fleet.holders(model).size() > 1) {
                steps.add(unload(engine, need));
            }
        }
    }

    private static DemandReport report(BenchFleet fleet) {
        DemandReport.Builder report = DemandReport.newBuilder().setNode("node");
        for (int model = 0; model < fleet.mTokens.length; model++) {
            report.addModels(
                    ModelDemand.newBuilder()
                            .setModel("m-" + model)
                            .setTokensPerSecond(fleet.mTokens[model]));
        }
        return report.build();
    }

    private static boolean holds(BenchFleet.Engine engine, ModelNeed need) {
        return engine.mHeld.containsKey(need.artifact());
    }

    private static boolean fits(BenchFleet.Engine engine, ModelNeed need) {
        return engine.freeBytes() >= need.footprintBytes();
    }

    private static OrderRequest load(BenchFleet.Engine engine, ModelNeed need) {
        return new OrderRequest(
                engine.mName,
                OrderAction.LOAD_MODEL,
                need.artifact(),
                need.model().weightsBytes(),
                need.model().workingBytes(),
                List.of());
    }

    private static OrderRequest unload(BenchFleet.Engine engine, ModelNeed need) {
        Artifact artifact = need.artifact();
        return new OrderRequest(
                engine.mName, OrderAction.UNLOAD_MODEL, artifact, 0, 0, List.of("other"));
    }
}
