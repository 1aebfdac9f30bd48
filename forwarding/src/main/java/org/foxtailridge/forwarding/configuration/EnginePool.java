package org.foxtailridge.forwarding.configuration;

import java.util.List;
import java.util.Optional;

/**
 * What the model engines of a service have in common.
 *
 * @param slots requests that one engine runs at once
 * @param cacheTokens tokens of prompts and answers that one engine keeps in memory
 * @param tokensPerEvent tokens of an answer in one event of a stream
 * @param memoryMegabytes memory of one engine for weights and adapters
 * @param adapterSlots adapters that one engine holds
 * @param loadsPerSecond loads that the weight store allows over all engines
 * @param models models that may be held
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

    /** Returns a model by its name. */
    public Optional<ModelConfiguration> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
