package org.foxtailridge.clients.engine;

import java.util.List;

/**
 * What an engine says of itself; it lags.
 *
 * @param incarnation number that changes with each start of the engine
 * @param asOfMs time of the report, in milliseconds since the epoch
 * @param running requests in the batch
 * @param waiting requests in the engine's queue
 * @param memoryBytes accelerator memory
 * @param usedBytes accelerator memory taken
 * @param kvUsedBytes accelerator memory taken by the KV cache
 * @param role {@code prefill}, {@code decode} or {@code both}
 * @param leaving whether the engine is being stopped
 * @param highestFencing highest fencing number that it has seen
 * @param residents models and adapters in memory
 */
public record LoadReport(
        long incarnation,
        long asOfMs,
        int running,
        int waiting,
        long memoryBytes,
        long usedBytes,
        long kvUsedBytes,
        String role,
        boolean leaving,
        long highestFencing,
        List<Resident> residents) {
    /** Copies the list. */
    public LoadReport {
        residents = residents == null ? List.of() : List.copyOf(residents);
    }
}
