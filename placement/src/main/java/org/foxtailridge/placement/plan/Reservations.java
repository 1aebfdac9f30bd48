package org.foxtailridge.placement.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Room on endpoints that is being cleared for a model, one place for each model. */
final class Reservations {
    private final Duration mTime;
    private final Map<String, Reservation> mByModel = new LinkedHashMap<>();

    Reservations(Duration time) {
        mTime = time;
    }

    void put(String model, String endpoint, Instant now) {
        mByModel.put(model, new Reservation(endpoint, now.plus(mTime)));
    }

    void remove(String model) {
        mByModel.remove(model);
    }

    /** Forgets what has expired and what is for models that are not listed. */
    Map<String, Reservation> current(Set<String> models, Instant now) {
        mByModel.entrySet()
                .removeIf(
                        entry ->
                                !models.contains(entry.getKey())
                                        || !now.isBefore(entry.getValue().until()));
        return Map.copyOf(mByModel);
    }

    record Reservation(String endpoint, Instant until) {}
}
