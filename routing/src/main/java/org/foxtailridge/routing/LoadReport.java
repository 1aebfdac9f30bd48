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
 * @param batchSize requests that it runs at once; 0 when that isn't known
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
        List<Resident> residents,
        int batchSize) {
    /** Copies the list. */
    public LoadReport {
        Objects.requireNonNull(role, "role");
        residents = List.copyOf(residents);
    }

    /** Creates a report of an endpoint whose batch size isn't known. */
    public LoadReport(
            long incarnation,
            long asOfMilliseconds,
            int running,
            int waiting,
            long memoryBytes,
            long usedBytes,
            EngineRole role,
            boolean leaving,
            List<Resident> residents) {
        this(
                incarnation,
                asOfMilliseconds,
                running,
                waiting,
                memoryBytes,
                usedBytes,
                role,
                leaving,
                residents,
                0);
    }
}
