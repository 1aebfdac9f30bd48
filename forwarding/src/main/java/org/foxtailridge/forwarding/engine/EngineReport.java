package org.foxtailridge.forwarding.engine;

import java.util.List;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.endpoint.HeldModel;

/**
 * Load and memory report of an engine; its values may be some hundred milliseconds old. Immutable.
 *
 * @param startMilliseconds start of its process, in milliseconds since the epoch; empty if not
 *     stated
 * @param ordersAccepted placement orders accepted since its start
 * @param executingOrder whether it is executing a placement order
 * @param running requests in its batch
 * @param queued requests in its queue
 * @param usedCacheTokens tokens in its cache that cannot be evicted
 * @param totalCacheTokens capacity of its cache in tokens
 * @param models resident models
 * @param inHostMemory names of models whose weights are in its host memory
 * @param onDisk names of models whose weights are on its disk
 */
public record EngineReport(
        OptionalLong startMilliseconds,
        long ordersAccepted,
        boolean executingOrder,
        int running,
        int queued,
        long usedCacheTokens,
        long totalCacheTokens,
        List<HeldModel> models,
        List<String> inHostMemory,
        List<String> onDisk) {
    /** Copies the lists. */
    public EngineReport {
        models = List.copyOf(models);
        inHostMemory = List.copyOf(inHostMemory);
        onDisk = List.copyOf(onDisk);
    }
}
