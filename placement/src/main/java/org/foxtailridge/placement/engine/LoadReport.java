package org.foxtailridge.placement.engine;

import java.util.List;
import java.util.Objects;

/**
 * What an engine says about itself, some time after the fact.
 *
 * @param endpoint name of the endpoint
 * @param incarnation grows with each start of the engine
 * @param asOfMilliseconds instant of the report on the engine's clock
 * @param memoryBytes accelerator memory
 * @param usedBytes accelerator memory in use
 * @param highestFencing highest fencing number that this incarnation has seen
 * @param leaving whether the engine is going out of service
 * @param residents artifacts in memory
 */
public record LoadReport(
        String endpoint,
        long incarnation,
        long asOfMilliseconds,
        long memoryBytes,
        long usedBytes,
        long highestFencing,
        boolean leaving,
        List<Resident> residents) {
    /** Copies the list. */
    public LoadReport {
        Objects.requireNonNull(endpoint, "endpoint");
        residents = List.copyOf(residents);
    }

    /** Returns whether this report is newer than another of the same endpoint. */
    public boolean isNewerThan(LoadReport other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return asOfMilliseconds >= other.asOfMilliseconds;
    }
}
