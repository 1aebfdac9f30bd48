package org.foxtailridge.bench.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.configuration.model.Adapter;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;
import org.foxtailridge.placement.plan.Copy;
import org.foxtailridge.placement.plan.CopyState;
import org.foxtailridge.placement.plan.EndpointView;
import org.foxtailridge.placement.plan.ModelNeed;

/** Engines of a deployment that carry out steps within the limits of the weight store. */
final class BenchFleet {
    static final int LOAD_SECONDS = 8;
    private static final int UNLOAD_SECONDS = 2;

    final ManualClock mClock = ManualClock.atEpoch();
    final Deployment mDeployment;
    final List<Engine> mEngines = new ArrayList<>();
    final List<ModelNeed> mNeeds;
    private final List<Integer> mLoadSeconds = new ArrayList<>();
    private final Map<String, Integer> mLoadedAt = new LinkedHashMap<>();
    private double mStartsAllowed = 1;
    int mUndone;
    int mSecond;
    double[] mTokens;

    BenchFleet(Deployment deployment) {
        mDeployment = deployment;
        for (int worker = 0; worker < deployment.workers(); worker++) {
            mEngines.add(new Engine("e-" + worker, "dc-" + worker % Deployment.DATA_CENTRES));
        }
        List<Model> models = new ArrayList<>();
        List<Adapter> adapters = new ArrayList<>();
        for (int model = 0; model < deployment.models(); model++) {
            long weights = (14 + 8L * (model % 4)) * Deployment.GIGABYTE;
            models.add(
                    new Model(
                            "m-" + model, "1", weights, 8 * Deployment.GIGABYTE, List.of(), 8192));
        }
        for (int adapter = 0; adapter < deployment.adapters(); adapter++) {
            String model = "m-" + adapter % deployment.models();
            adapters.add(new Adapter("a-" + adapter, model, "1", Deployment.ADAPTER_BYTES));
        }
        mNeeds = ModelNeed.of(models, adapters, 4);
    }

    /** Lets one second pass. */
    void advance(int second, double[] tokens) {
        mSecond = second;
        mTokens = tokens;
        mClock.advance(Duration.ofSeconds(1));
        mStartsAllowed =
                Math.min(
                        mStartsAllowed + mDeployment.loadsPerSecond(),
                        mDeployment.loadsPerSecond());
        mEngines.forEach(engine -> engine.finish(second));
    }

    /** Carries out steps; loads beyond the limits of the weight store are dropped. */
    void carryOut(List<OrderRequest> steps) {
        for (OrderRequest step : steps) {
            Engine engine =
                    mEngines.stream()
                            .filter(candidate -> candidate.mName.equals(step.endpoint()))
                            .findFirst()
                            .orElseThrow();
            if (step.action() == OrderAction.LOAD_MODEL) {
                load(engine, step);
            } else {
                unload(engine, step);
            }
        }
    }

    List<Integer> loadSeconds() {
        return mLoadSeconds;
    }

    List<Engine> holders(int model) {
        return mEngines.stream().filter(engine -> engine.serves("m-" + model)).toList();
    }

    long coming() {
        return mEngines.stream()
                .flatMap(engine -> engine.mHeld.values().stream())
                .filter(held -> held.copy().state() == CopyState.COMING)
                .count();
    }

    private void load(Engine engine, OrderRequest step) {
        long bytes = step.bytes() + step.workingBytes();
        boolean allowed = mStartsAllowed >= 1 && coming() < mDeployment.loadsAtOnce();
        if (!allowed || !engine.mLive || engine.freeBytes() < bytes) {
            return;
        }
        mStartsAllowed--;
        mLoadSeconds.add(mSecond);
        mLoadedAt.put(engine.mName + step.artifact().name(), mSecond);
        Copy copy = new Copy(step.artifact(), bytes, CopyState.COMING);
        engine.mHeld.put(step.artifact(), new Held(copy, mSecond + LOAD_SECONDS));
    }

    private void unload(Engine engine, OrderRequest step) {
        Held held = engine.mHeld.get(step.artifact());
        if (held == null || !held.copy().isServing()) {
            return;
        }
        Integer loadedAt = mLoadedAt.get(engine.mName + step.artifact().name());
        if (loadedAt != null && mSecond - loadedAt < Duration.ofMinutes(10).toSeconds()) {
            mUndone++;
        }
        Copy copy = new Copy(step.artifact(), held.copy().bytes(), CopyState.GOING);
        engine.mHeld.put(step.artifact(), new Held(copy, mSecond + UNLOAD_SECONDS));
    }

    Instant now() {
        return mClock.instant();
    }

    /** A copy and the second in which its load or unload is done. */
    record Held(Copy copy, int doneAt) {}

    /** One engine. */
    static final class Engine {
        final String mName;
        final String mDataCentre;
        final Map<Artifact, Held> mHeld = new LinkedHashMap<>();
        boolean mLive = true;

        Engine(String name, String dataCentre) {
            mName = name;
            mDataCentre = dataCentre;
        }

        void crash() {
            mLive = false;
            mHeld.clear();
        }

        boolean serves(String model) {
            return mLive
                    && mHeld.values().stream()
                            .map(Held::copy)
                            .anyMatch(
                                    copy ->
                                            copy.isServing()
                                                    && copy.artifact().name().equals(model));
        }

        long freeBytes() {
            return Deployment.MEMORY_BYTES
                    - mHeld.values().stream().mapToLong(held -> held.copy().bytes()).sum();
        }

        EndpointView view() {
            return new EndpointView(
                    mName,
                    "pool",
                    mDataCentre,
                    1,
                    Deployment.MEMORY_BYTES,
                    freeBytes(),
                    mLive,
                    false,
                    mHeld.values().stream().map(Held::copy).toList(),
                    List.of());
        }

        private void finish(int second) {
            mHeld.values().removeIf(held -> held.copy().isGoing() && held.doneAt() <= second);
            mHeld.replaceAll((artifact, held) -> held.doneAt() <= second ? serving(held) : held);
        }

        private static Held serving(Held held) {
            Copy copy = held.copy();
            return new Held(
                    new Copy(copy.artifact(), copy.bytes(), CopyState.SERVING), held.doneAt());
        }
    }
}
