package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.util.List;

/**
 * Settings of an engine.
 *
 * @param name name by which it is known to the weight store
 * @param memoryBytes accelerator memory
 * @param kvBytesPerToken KV memory for each token
 * @param firstToken time to the first token of a prompt that is wholly cached
 * @param prefillPerToken time for each prompt token that is not cached
 * @param betweenTokens time between tokens; 0 for as fast as the caller takes them
 * @param meanTokens mean length of answers that end by themselves; 0 for up to {@code max_tokens}
 * @param maximumRunning attempts that run at once
 * @param maximumWaiting attempts that wait
 * @param prefixCacheTokens tokens that the prefix cache holds
 * @param loadReportLag age that the load report reaches before it is renewed
 * @param cacheEventLag time after which cache events are published
 * @param cacheEventLoss share of cache events that are never published, from 0 to 1
 * @param honoursFencing whether orders with an old fencing number are refused
 * @param resumeWindow time that an attempt whose stream broke goes on before it is cancelled
 * @param preloaded models that are resident from the start
 * @param seed seed of random numbers
 */
record EngineSettings(
        String name,
        long memoryBytes,
        long kvBytesPerToken,
        Duration firstToken,
        Duration prefillPerToken,
        Duration betweenTokens,
        int meanTokens,
        int maximumRunning,
        int maximumWaiting,
        long prefixCacheTokens,
        Duration loadReportLag,
        Duration cacheEventLag,
        double cacheEventLoss,
        boolean honoursFencing,
        Duration resumeWindow,
        List<Preloaded> preloaded,
        long seed) {}
