package org.foxtailridge.routing;

import java.util.List;
import java.util.Objects;

/**
 * Load that an endpoint reported of itself. Reports arrive with a delay.
 *
 * @param incarnation number that grows with each restart of the endpoint
 * @param asOfMilliseconds instant of the figures, in milliseconds since the epoch
 * @param running number of requests in the running batch
 * @param waiting number of requests in the endpoint's queue
 * @param memoryBytes size of the accelerator memory
 * @param usedBytes accelerator memory in use
 * @param role inference phases that the endpoint executes
 * @param leaving whether the endpoint drains before it goes out of service
 * @param residents models and adapters in the accelerator memory
 * @param batchSize maximum number of requests in a batch; 0 when unknown
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
    /** Checks the role and copies the list, so that the report is immutable. */
    public LoadReport {
        Objects.requireNonNull(role, "role");
        residents = List.copyOf(residents);
    }

    /** Creates a report of an endpoint with unknown batch size. */
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
