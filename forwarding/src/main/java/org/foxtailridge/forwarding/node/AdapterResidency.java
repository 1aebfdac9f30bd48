package org.foxtailridge.forwarding.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * View of the adapters and models that are resident on engines: what each engine announced,
 * corrected by newer residence messages of the node that holds the duty of placement orders.
 *
 * <p>Announcements lag behind orders, so that a correction overrides them for a limited time. It
 * also ends with the engine process for which it was made, which its start time identifies. All
 * times are milliseconds since the epoch. Confined to the event loop.
 */
final class AdapterResidency {
    /** Name that denotes the base model in place of an adapter. */
    static final String BASE_MODEL = "";

    private final long mMaximumCorrectionAgeMilliseconds;
    private final Map<String, Map<Adapter, Correction>> mCorrections = new HashMap<>();

    AdapterResidency(long maximumCorrectionAgeMilliseconds) {
        mMaximumCorrectionAgeMilliseconds = maximumCorrectionAgeMilliseconds;
    }

    /** Records whether an adapter, or {@link #BASE_MODEL}, is resident since a newer order. */
    void correct(
            String engine, long start, String model, String adapter, boolean resident, long now) {
        mCorrections
                .computeIfAbsent(engine, name -> new HashMap<>())
                .put(new Adapter(model, adapter), new Correction(start, resident, now));
    }

    /** Returns whether a newer order unloads a model that the engine may still announce. */
    boolean isBeingUnloaded(String engine, long start, String model, long now) {
        return !correctedResidents(engine, start, model, List.of(BASE_MODEL), now)
                .contains(BASE_MODEL);
    }

    /** Returns the models that newer orders have loaded. */
    List<String> loadedModels(String engine, long start, long now) {
        return mCorrections.getOrDefault(engine, Map.of()).entrySet().stream()
                .filter(entry -> entry.getKey().name().equals(BASE_MODEL))
                .filter(entry -> entry.getValue().resident())
                .filter(
                        entry ->
                                entry.getValue()
                                        .isValid(start, now, mMaximumCorrectionAgeMilliseconds))
                .map(entry -> entry.getKey().model())
                .toList();
    }

    /** Drops the corrections of an engine that is gone. */
    void forget(String engine) {
        mCorrections.remove(engine);
    }

    /** Returns the adapters of a model that are resident on an engine. */
    List<String> residentAdapters(
            String engine, long start, String model, List<String> announced, long now) {
        Set<String> adapters = correctedResidents(engine, start, model, announced, now);
        adapters.remove(BASE_MODEL);
        return new ArrayList<>(adapters);
    }

    /** Returns the announced adapters, corrected; {@link #BASE_MODEL} counts as an adapter. */
    private Set<String> correctedResidents(
            String engine, long start, String model, List<String> announced, long now) {
        Map<Adapter, Correction> corrections = mCorrections.getOrDefault(engine, Map.of());
        Set<String> residents = new LinkedHashSet<>(announced);
        corrections
                .values()
                .removeIf(
                        correction ->
                                !correction.isValid(start, now, mMaximumCorrectionAgeMilliseconds));
        corrections.forEach(
                (adapter, correction) -> {
                    if (!adapter.model().equals(model)) {
                        return;
                    }
                    if (correction.resident()) {
                        residents.add(adapter.name());
                    } else {
                        residents.remove(adapter.name());
                    }
                });
        return residents;
    }

    private record Adapter(String model, String name) {}

    private record Correction(long start, boolean resident, long atMilliseconds) {
        private boolean isValid(long engineStart, long now, long maximumAgeMilliseconds) {
            return start == engineStart && now - atMilliseconds <= maximumAgeMilliseconds;
        }
    }
}
