package org.foxtailridge.forwarding.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Common properties of the model engines of a service.
 *
 * @param slots maximum number of concurrent requests of one engine
 * @param cacheTokens tokens of prompts and answers that one engine can cache in memory
 * @param tokensPerEvent tokens of the answer in each event of a stream
 * @param memoryMegabytes memory of one engine for weights and adapters
 * @param adapterSlots maximum number of resident adapters of one engine
 * @param loadsPerSecond loads from the weight store allowed per second for all engines together
 * @param models models that the engines may load
 */
public record EnginePool(
        int slots,
        long cacheTokens,
        int tokensPerEvent,
        double memoryMegabytes,
        int adapterSlots,
        double loadsPerSecond,
        List<ModelConfiguration> models) {
    /** Copies the list. */
    public EnginePool {
        models = List.copyOf(models);
    }

    /** Returns the model with the given name; empty if it is not configured. */
    public Optional<ModelConfiguration> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
