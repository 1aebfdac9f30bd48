package org.foxtailridge.placement.announced;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Counts over the engines of a pool as they are at the start of a plan. */
final class CopyIndex {
    private final Map<String, Integer> mServing = new HashMap<>();
    private final Map<String, Integer> mLoading = new HashMap<>();
    private final Map<String, Set<String>> mModelsByDataCentre = new HashMap<>();
    private final Map<EngineState, Double> mChargedMegabytes = new HashMap<>();
    private int mUsableEngines;

    CopyIndex(Collection<EngineState> engines, PoolSize pool) {
        for (EngineState engine : engines) {
            mChargedMegabytes.put(engine, engine.chargedMegabytes(pool));
            if (engine.isUsable()) {
                add(engine);
            }
        }
    }

    /** Returns the engines that serve a model. */
    int serving(String model) {
        return mServing.getOrDefault(model, 0);
    }

    /** Returns the engines that load a model. */
    int loading(String model) {
        return mLoading.getOrDefault(model, 0);
    }

    /** Returns whether an engine of a data centre serves or loads a model. */
    boolean isHeldIn(String dataCentre, String model) {
        return mModelsByDataCentre.getOrDefault(dataCentre, Set.of()).contains(model);
    }

    int usableEngines() {
        return mUsableEngines;
    }

    /** Returns the number of data centres with usable engines. */
    int usableDataCentres() {
        return mModelsByDataCentre.size();
    }

    /** Returns the memory of an engine that is or may be in use, in megabytes. */
    double chargedMegabytes(EngineState engine) {
        return mChargedMegabytes.get(engine);
    }

    private void add(EngineState engine) {
        mUsableEngines++;
        Set<String> held =
                mModelsByDataCentre.computeIfAbsent(
                        engine.view().dataCentre(), name -> new HashSet<>());
        for (String model : engine.models()) {
            if (engine.serves(model)) {
                mServing.merge(model, 1, Integer::sum);
                held.add(model);
            }
        }
        Optional<String> ordered =
                Optional.ofNullable(engine.inFlight())
                        .filter(order -> order.load() && order.adapter().isEmpty())
                        .map(ModelOrder::model);
        Set<String> loading = new HashSet<>();
        engine.loading().ifPresent(loading::add);
        ordered.ifPresent(loading::add);
        for (String model : loading) {
            mLoading.merge(model, 1, Integer::sum);
            held.add(model);
        }
    }
}
