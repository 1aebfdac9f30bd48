package org.foxtailridge.standins.engine;

import java.util.List;

/**
 * What an engine reports of its load, as of an instant that may lie back.
 *
 * @param incarnation number that changes whenever the engine restarts
 * @param asOfMs instant of the report, in milliseconds since the epoch
 * @param running attempts in the batch
 * @param waiting attempts that wait for room
 * @param memoryBytes accelerator memory
 * @param usedBytes memory of weights and working memory, loading and unloading included
 * @param kvUsedBytes part of the working memory that is set aside for attempts
 * @param role {@code prefill}, {@code decode} or {@code both}
 * @param leaving whether the engine is being taken out of service
 * @param highestFencing highest fencing number of any order
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
        List<Resident> residents) {}
