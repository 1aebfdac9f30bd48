package org.foxtailridge.placement.announced;

import java.time.Duration;
import java.util.Objects;

/**
 * Times and shares that placement goes by.
 *
 * @param lateOrderLife time for which an order without an answer may still be carried out
 * @param adapterLoadTime time after which an adapter that an engine loads is taken as in memory
 * @param planInterval time between two plans
 * @param fillTarget part of an engine's slots that the demand for one copy is to fill
 * @param activeRequests requests under way from which a model has two copies
 * @param crowdedRequests requests under way for each copy from which another copy may displace one
 *     that is used less
 * @param gainFactor how much more the copies of a model must carry than the one they displace
 * @param demandMemory time in which demand that has ended is forgotten to a third
 * @param reportLife time after which what a node said of its demand counts no more
 * @param storeBurst loads from the weight store that may begin at once
 * @param roomLife time for which room that is being made is meant for one model
 */
public record AnnouncedPlacementSettings(
        Duration lateOrderLife,
        Duration adapterLoadTime,
        Duration planInterval,
        double fillTarget,
        double activeRequests,
        double crowdedRequests,
        double gainFactor,
        Duration demandMemory,
        Duration reportLife,
        double storeBurst,
        Duration roomLife) {
    /** Checks that no time is missing. */
    public AnnouncedPlacementSettings {
        Objects.requireNonNull(lateOrderLife, "lateOrderLife");
        Objects.requireNonNull(adapterLoadTime, "adapterLoadTime");
        Objects.requireNonNull(planInterval, "planInterval");
        Objects.requireNonNull(demandMemory, "demandMemory");
        Objects.requireNonNull(reportLife, "reportLife");
        Objects.requireNonNull(roomLife, "roomLife");
    }

    /** Returns the default settings. Engines carry out late orders within 12 s. */
    public static AnnouncedPlacementSettings defaults() {
        return new AnnouncedPlacementSettings(
                Duration.ofSeconds(15),
                Duration.ofMillis(20),
                Duration.ofMillis(250),
                0.4,
                3,
                8,
                3,
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                2,
                Duration.ofSeconds(10));
    }
}
