package org.foxtailridge.forwarding.engine;

import java.util.List;
import java.util.OptionalLong;
import org.foxtailridge.forwarding.endpoint.HeldModel;

/**
 * What an engine says when it is asked; some hundred milliseconds old. Immutable.
 *
 * @param startMilliseconds instant of its process's start, in milliseconds since the epoch; empty
 *     when it does not say
 * @param ordersAccepted orders that it has accepted since its start
 * @param executingOrder whether it carries out an order
 * @param running requests in its batch
 * @param queued requests in its queue
 * @param usedCacheTokens tokens in its memory that can't yield
 * @param totalCacheTokens tokens that its memory holds
 * @param models models in its memory
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
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
