package org.foxtailridge.placement.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailridge.configuration.model.Model;
import org.foxtailridge.core.time.ManualClock;
import org.foxtailridge.placement.engine.Artifact;
import org.foxtailridge.placement.order.OrderAction;
import org.foxtailridge.placement.order.OrderRequest;

/** Endpoints that carry out the planner's steps; one round takes one second. */
final class PlannedFleet {
    final ManualClock mClock = ManualClock.at(Instant.EPOCH.plusSeconds(10_000));
    final PlacementPlanner mPlanner;
    final Map<String, Model> mModels = new TreeMap<>();
    final Map<String, PlannedEndpoint> mEndpoints = new TreeMap<>();
    final List<OrderRequest> mLoads = new ArrayList<>();
    final List<OrderRequest> mUnloads = new ArrayList<>();
    final List<String> mViolations = new ArrayList<>();
    int mLoadsAtOnce = 7;

    PlannedFleet(PlannerSettings settings) {
        mPlanner = new PlacementPlanner(settings, mClock);
    }

    PlannedFleet endpoints(int dataCentres, int perDataCentre, long memoryBytes) {
        for (int centre = 0; centre < dataCentres; centre++) {
            for (int index = 0; index < perDataCentre; index++) {
                add("e-" + centre + "-" + index, "dc-" + centre, memoryBytes);
            }
        }
        return this;
    }

    PlannedEndpoint add(String name, String dataCentre, long memoryBytes) {
        PlannedEndpoint endpoint = new PlannedEndpoint(name, dataCentre, memoryBytes);
        mEndpoints.put(name, endpoint);
        return endpoint;
    }

    PlannedFleet model(String name, String version, long bytes) {
        mModels.put(name, new Model(name, version, bytes, 0, List.of(), 4096));
        relist();
        return this;
    }

    void relist() {
        mPlanner.models(ModelNeed.of(List.copyOf(mModels.values()), List.of(), 0));
    }

    PlannedFleet rounds(int rounds) {
        for (int round = 0; round < rounds; round++) {
            round();
        }
        return this;
    }

    /** Plans once and returns the steps without carrying them out. */
    List<OrderRequest> plan() {
        mEndpoints.values().forEach(endpoint -> mPlanner.update(endpoint.view()));
        return mPlanner.plan(mLoadsAtOnce);
    }

    void round() {
        mEndpoints.values().forEach(PlannedEndpoint::finish);
        mClock.advance(Duration.ofSeconds(1));
        for (OrderRequest step : plan()) {
            carryOut(step);
        }
        for (PlannedEndpoint endpoint : mEndpoints.values()) {
            if (endpoint.freeBytes() < 0) {
                mViolations.add(endpoint.mName + " overcommitted by " + -endpoint.freeBytes());
            }
        }
    }

    boolean isReachable(String model) {
        return copies(model) > 0;
    }

    long copies(String model) {
        return mEndpoints.values().stream().filter(endpoint -> endpoint.serves(model)).count();
    }

    long copies(String model, String version) {
        Artifact artifact = Artifact.model(model, version);
        return mEndpoints.values().stream()
                .filter(endpoint -> endpoint.mLive)
                .filter(endpoint -> endpoint.mCopies.get(artifact) == CopyState.SERVING)
                .count();
    }

    private void carryOut(OrderRequest step) {
        PlannedEndpoint endpoint = mEndpoints.get(step.endpoint());
        if (step.action() == OrderAction.LOAD_MODEL) {
            mLoads.add(step);
            endpoint.mCopies.put(step.artifact(), CopyState.COMING);
            long versions =
                    endpoint.mCopies.keySet().stream()
                            .filter(held -> held.name().equals(step.artifact().name()))
                            .count();
            endpoint.mVersionsAtOnce = Math.max(endpoint.mVersionsAtOnce, versions);
            return;
        }
        mUnloads.add(step);
        endpoint.mCopies.put(step.artifact(), CopyState.GOING);
        String model = step.artifact().name();
        if (mModels.containsKey(model) && !isReachable(model)) {
            mViolations.add("last copy of " + model + " unloaded from " + step.endpoint());
        }
    }

    /** An endpoint whose loads and unloads take one round. */
    final class PlannedEndpoint {
        final String mName;
        final String mDataCentre;
        final long mMemoryBytes;
        final Map<Artifact, CopyState> mCopies = new LinkedHashMap<>();
        final Map<Artifact, Long> mBytes = new LinkedHashMap<>();
        boolean mLive = true;
        boolean mLeaving;
        long mVersionsAtOnce;

        PlannedEndpoint(String name, String dataCentre, long memoryBytes) {
            mName = name;
            mDataCentre = dataCentre;
            mMemoryBytes = memoryBytes;
        }

        void crash() {
            mLive = false;
            mCopies.clear();
        }

        boolean serves(String model) {
            return mLive
                    && mCopies.entrySet().stream()
                            .anyMatch(
                                    entry ->
                                            entry.getKey().name().equals(model)
                                                    && entry.getValue() == CopyState.SERVING);
        }

        /** Returns whether it has never held two versions of a model at a time. */
        boolean hasOneVersion() {
            return mVersionsAtOnce <= 1;
        }

        long freeBytes() {
            return mMemoryBytes - mCopies.keySet().stream().mapToLong(this::bytesOf).sum();
        }

        EndpointView view() {
            Function<Map.Entry<Artifact, CopyState>, Copy> copyOf =
                    entry -> new Copy(entry.getKey(), bytesOf(entry.getKey()), entry.getValue());
            List<Copy> copies = mCopies.entrySet().stream().map(copyOf).toList();
            return new EndpointView(
                    mName,
                    "pool",
                    mDataCentre,
                    1,
                    mMemoryBytes,
                    freeBytes(),
                    mLive,
                    mLeaving,
                    copies,
                    List.of());
        }

        private long bytesOf(Artifact artifact) {
            Model model = mModels.get(artifact.name());
            if (model != null) {
                mBytes.put(artifact, model.weightsBytes());
            }
            return mBytes.get(artifact);
        }

        private void finish() {
            mCopies.values().removeIf(state -> state == CopyState.GOING);
            mCopies.replaceAll((artifact, state) -> CopyState.SERVING);
        }
    }
}
