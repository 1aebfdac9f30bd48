package org.foxtailridge.routing;

import java.util.List;
import java.util.Objects;

/**
 * What an endpoint says about its load, some time ago.
 *
 * @param incarnation number that changes whenever the endpoint restarts
 * @param asOfMilliseconds instant of the figures, in milliseconds since the epoch
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param memoryBytes accelerator memory
 * @param usedBytes accelerator memory in use
 * @param role which phases it executes
 * @param leaving whether it is going out of service
 * @param residents models and adapters in its memory
 */
public record LoadReport(
        long incarnation,
        long asOfMilliseconds,
        int running,
        int waiting,
        long memoryBytes,
        long usedBytes,
        EngineRole role,
        boolean leaving,
        List<Resident> residents) {
    /** Copies the list. */
    public LoadReport {
        Objects.requireNonNull(role, "role");
        residents = List.copyOf(residents);
    }
}
