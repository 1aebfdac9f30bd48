package org.foxtailridge.configuration.model;

import java.util.List;

/**
 * A model that must stay reachable.
 *
 * @param name name that callers use
 * @param version version of the weights
 * @param weightsBytes accelerator memory that the weights take
 * @param workingBytes accelerator memory kept free beside the weights for the KV cache
 * @param pools pools of endpoints that may hold the model; empty stands for all
 * @param contextTokens largest sum of prompt and output tokens
 */
public record Model(
        String name,
        String version,
        long weightsBytes,
        long workingBytes,
        List<String> pools,
        int contextTokens)
        implements ConfigurationEntry {
    /** Copies the list. */
    public Model {
        pools = pools == null ? List.of() : List.copyOf(pools);
    }
}
