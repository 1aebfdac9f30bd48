package org.foxtailridge.placement.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Room on endpoints that is being cleared for a model, one place for each model. */
final class Reservations {
    private static final Duration TIME_TO_START = Duration.ofSeconds(5);

    private final Duration mTime;
    private final Map<String, Reservation> mByModel = new LinkedHashMap<>();

    Reservations(Duration time) {
        mTime = time;
    }

    void put(String model, String endpoint, Instant now) {
        mByModel.put(model, new Reservation(endpoint, now.plus(TIME_TO_START), now.plus(mTime)));
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

    /**
     * Room on an endpoint.
     *
     * @param endpoint name of the endpoint
     * @param startBy time by which an unload must have begun to clear the room
     * @param until time by which the room must be clear
     */
    record Reservation(String endpoint, Instant startBy, Instant until) {}
}
