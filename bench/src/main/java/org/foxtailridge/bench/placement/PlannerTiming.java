package org.foxtailridge.bench.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.bench.ComparisonTable;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.core.time.MonotonicClock;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.placement.plan.Copy;
import org.foxtailridge.placement.plan.CopyState;
import org.foxtailridge.placement.plan.EndpointView;
import org.foxtailridge.placement.plan.ModelNeed;
import org.foxtailridge.placement.plan.PlacementPlanner;
import org.foxtailridge.placement.plan.PlannerSettings;

/**
 * Measures the planner's time at growing sizes: a full plan of an empty fleet with no bound on
 * loads, and an incremental plan after one endpoint is lost. Real time, so its figures vary.
 */
public final class PlannerTiming {
    private static final int[] WORKERS = {9, 100, 500, 1_100, 2_750, 5_500};
    private static final int MOST_MODELS = 300;
    private static final int DATA_CENTRES = 9;
    private static final int ACCELERATORS = 4;
    private static final long GIGABYTE = 1_000_000_000L;
    private static final long MEMORY_BYTES = 320 * GIGABYTE;
    private static final int REPETITIONS = 9;
    private static final int NORMAL_LOADS_AT_ONCE = 7;
    private static final double BUSY_SHARE = 0.5;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final MonotonicClock mRealTime = MonotonicClock.start();
    private final long mSeed;

    private PlannerTiming(long seed) {
        mSeed = seed;
    }

    /** Prints the table; the first argument is the seed. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        System.out.print(new PlannerTiming(seed).run().toText());
    }

    private ComparisonTable run() {
        ComparisonTable.Builder table =
                ComparisonTable.builder(
                        "planner time",
                        List.of(
                                "workers",
                                "models",
                                "copies",
                                "full ms, median",
                                "full ms, most",
                                "incremental ms, median",
                                "incremental ms, most"));
        for (int workers : WORKERS) {
            table.row(row(workers));
        }
        return table.build();
    }

    private List<String> row(int workers) {
        int models = Math.min(MOST_MODELS, Math.max(13, workers * MOST_MODELS / 5_500));
        List<Double> full = new ArrayList<>();
        List<Double> incremental = new ArrayList<>();
        int copies = 0;
        for (int repetition = 0; repetition < 2 * REPETITIONS; repetition++) {
            PlacementPlanner planner = planner(workers, models);
            List<OrderRequest> steps = timed(full, () -> planner.plan(Integer.MAX_VALUE));
            copies = steps.size();
            carryOut(planner, steps, workers);
            planner.plan(NORMAL_LOADS_AT_ONCE);
            planner.update(view(0, false, List.of()));
            timed(incremental, () -> planner.plan(NORMAL_LOADS_AT_ONCE));
        }
        return List.of(
                String.valueOf(workers),
                String.valueOf(models),
                String.valueOf(copies),
                median(full),
                most(full),
                median(incremental),
                most(incremental));
    }

    private List<OrderRequest> timed(List<Double> milliseconds, Supplier<List<OrderRequest>> plan) {
        Instant start = mRealTime.instant();
        List<OrderRequest> steps = plan.get();
        milliseconds.add(
                Duration.between(start, mRealTime.instant()).toNanos()
                        / NANOSECONDS_PER_MILLISECOND);
        return steps;
    }

    private PlacementPlanner planner(int workers, int models) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(mSeed);
        PlannerSettings settings = PlannerSettings.defaults();
        PlacementPlanner planner = new PlacementPlanner(settings, ManualClock.atEpoch());
        List<Model> listed = new ArrayList<>();
        for (int model = 0; model < models; model++) {
            long weights = (15 + random.nextInt(60)) * GIGABYTE;
            listed.add(new Model("m-" + model, "1", weights, 10 * GIGABYTE, List.of(), 8_192));
        }
        planner.models(ModelNeed.of(listed, List.of(), settings.adaptersWithRoom()));
        double capacity =
                workers * ACCELERATORS * settings.tokensPerSecondPerAccelerator() * BUSY_SHARE;
        double harmonic = 0;
        for (int rank = 1; rank <= models; rank++) {
            harmonic += 1.0 / rank;
        }
        for (int model = 0; model < models; model++) {
            planner.demand("m-" + model, capacity / (model + 1) / harmonic);
        }
        for (int worker = 0; worker < workers; worker++) {
            planner.update(view(worker, true, List.of()));
        }
        return planner;
    }

    private static void carryOut(PlacementPlanner planner, List<OrderRequest> steps, int workers) {
        Map<String, List<Copy>> copies = new HashMap<>();
        for (OrderRequest step : steps) {
            Copy copy =
                    new Copy(
                            step.artifact(), step.bytes() + step.workingBytes(), CopyState.SERVING);
            copies.computeIfAbsent(step.endpoint(), name -> new ArrayList<>()).add(copy);
        }
        for (int worker = 0; worker < workers; worker++) {
            planner.update(view(worker, true, copies.getOrDefault("e-" + worker, List.of())));
        }
    }

    private static EndpointView view(int worker, boolean live, List<Copy> copies) {
        long used = copies.stream().mapToLong(Copy::bytes).sum();
        return new EndpointView(
                "e-" + worker,
                "pool",
                "dc-" + worker % DATA_CENTRES,
                ACCELERATORS,
                MEMORY_BYTES,
                MEMORY_BYTES - used,
                live,
                false,
                copies,
                List.of());
    }

    private static String median(List<Double> values) {
        return format(values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow());
    }

    private static String most(List<Double> values) {
        return format(
                values.stream()
                        .skip(REPETITIONS)
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElseThrow());
    }

    private static String format(double milliseconds) {
        return String.format(Locale.ROOT, "%.2f", milliseconds);
    }
}
