package org.foxtailridge.placement.announced;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Adapters that requests wait for, and what makes place for them. */
final class AdapterDesk {
    // Bounds what waits for one engine; a request that waits longer has gone elsewhere.
    private static final int MOST_WAITING = 64;
    private static final long WANTED_MILLISECONDS = 1_000;

    private final Map<String, Deque<Wanted>> mWaiting = new HashMap<>();

    void want(String engine, String model, String adapter, long now) {
        Deque<Wanted> waiting = mWaiting.computeIfAbsent(engine, name -> new ArrayDeque<>());
        boolean known =
                waiting.stream()
                        .anyMatch(
                                wanted ->
                                        wanted.model().equals(model)
                                                && wanted.adapter().equals(adapter));
        if (!known && waiting.size() < MOST_WAITING) {
            waiting.addLast(new Wanted(model, adapter, now));
        }
    }

    void forget(String engine) {
        mWaiting.remove(engine);
    }

    /** Returns the next order of adapters for an engine; empty when none is due or possible. */
    Optional<Step> next(EngineState engine, PoolSize pool, ModelDemands demands, long now) {
        Deque<Wanted> waiting = mWaiting.get(engine.name());
        if (waiting == null || !engine.isIdle() || !engine.view().usable()) {
            return Optional.empty();
        }
        waiting.removeIf(
                wanted ->
                        now - wanted.sinceMilliseconds() > WANTED_MILLISECONDS
                                || engine.holdsAdapter(wanted.model(), wanted.adapter())
                                || !engine.serves(wanted.model()));
        Wanted first = waiting.peekFirst();
        if (first == null) {
            return Optional.empty();
        }
        double size = pool.model(first.model()).map(ModelSize::adapterMegabytes).orElse(0.0);
        boolean place = engine.adapterCount() < pool.adapterPlaces();
        boolean memory = engine.chargedMegabytes(pool) + size <= pool.megabytes();
        if (place && memory) {
            waiting.pollFirst();
            return Optional.of(new Step(true, first.model(), first.adapter()));
        }
        return victim(engine, demands, now);
    }

    private static Optional<Step> victim(EngineState engine, ModelDemands demands, long now) {
        Comparator<Candidate> leastMissed =
                Comparator.comparingDouble(Candidate::demand)
                        .thenComparingLong(Candidate::usedMilliseconds);
        return engine.models().stream()
                .flatMap(model -> candidates(engine, model, demands, now))
                .min(leastMissed)
                .map(candidate -> new Step(false, candidate.model(), candidate.adapter()));
    }

    private static Stream<Candidate> candidates(
            EngineState engine, String model, ModelDemands demands, long now) {
        return engine.adapters(model).entrySet().stream()
                .filter(held -> !engine.isAdapterInUse(model, held.getKey(), now))
                .map(
                        held -> {
                            String name = AnnouncedPlacement.adapterName(model, held.getKey());
                            double demand = demands.of(name);
                            return new Candidate(model, held.getKey(), demand, held.getValue());
                        });
    }

    /**
     * An order of an adapter.
     *
     * @param load whether to load; otherwise to unload
     * @param model name of the model
     * @param adapter name of the adapter
     */
    record Step(boolean load, String model, String adapter) {}

    private record Wanted(String model, String adapter, long sinceMilliseconds) {}

    private record Candidate(String model, String adapter, double demand, long usedMilliseconds) {}
}
