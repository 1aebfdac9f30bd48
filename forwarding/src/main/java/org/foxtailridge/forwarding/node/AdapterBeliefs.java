package org.foxtailridge.forwarding.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which adapters engines hold: what they announced, corrected by what the giver of orders has said
 * since. Announcements lag behind orders, so that a correction counts for a while.
 */
final class AdapterBeliefs {
    /** Stands for the model itself in place of an adapter. */
    static final String MODEL_ITSELF = "";

    private final long mCorrectionMilliseconds;
    private final Map<String, Map<Adapter, Correction>> mCorrections = new HashMap<>();

    AdapterBeliefs(long correctionMilliseconds) {
        mCorrectionMilliseconds = correctionMilliseconds;
    }

    /** Notes what the giver of orders says. */
    void correct(
            String engine, long start, String model, String adapter, boolean resident, long now) {
        mCorrections
                .computeIfAbsent(engine, name -> new HashMap<>())
                .put(new Adapter(model, adapter), new Correction(start, resident, now));
    }

    /** Returns whether the giver of orders has said that a model leaves. */
    boolean isLeaving(String engine, long start, String model, long now) {
        return !believed(engine, start, model, List.of(MODEL_ITSELF), now).contains(MODEL_ITSELF);
    }

    /** Returns the models that the giver of orders has said to be loaded. */
    List<String> arrived(String engine, long start, long now) {
        return mCorrections.getOrDefault(engine, Map.of()).entrySet().stream()
                .filter(entry -> entry.getKey().name().equals(MODEL_ITSELF))
                .filter(entry -> entry.getValue().resident())
                .filter(entry -> entry.getValue().counts(start, now, mCorrectionMilliseconds))
                .map(entry -> entry.getKey().model())
                .toList();
    }

    void forget(String engine) {
        mCorrections.remove(engine);
    }

    /** Returns the adapters of a model that an engine is believed to hold. */
    List<String> of(String engine, long start, String model, List<String> announced, long now) {
        Set<String> adapters = believed(engine, start, model, announced, now);
        adapters.remove(MODEL_ITSELF);
        return new ArrayList<>(adapters);
    }

    /** Returns what was announced, corrected; the model itself is among it like an adapter. */
    private Set<String> believed(
            String engine, long start, String model, List<String> announced, long now) {
        Map<Adapter, Correction> corrections = mCorrections.getOrDefault(engine, Map.of());
        Set<String> believed = new LinkedHashSet<>(announced);
        corrections
                .values()
                .removeIf(correction -> !correction.counts(start, now, mCorrectionMilliseconds));
        corrections.forEach(
                (adapter, correction) -> {
                    if (!adapter.model().equals(model)) {
                        return;
                    }
                    if (correction.resident()) {
                        believed.add(adapter.name());
                    } else {
                        believed.remove(adapter.name());
                    }
                });
        return believed;
    }

    private record Adapter(String model, String name) {}

    private record Correction(long start, boolean resident, long atMilliseconds) {
        private boolean counts(long engineStart, long now, long life) {
            return start == engineStart && now - atMilliseconds <= life;
        }
    }
}
