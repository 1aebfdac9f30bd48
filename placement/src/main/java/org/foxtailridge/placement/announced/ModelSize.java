package org.foxtailridge.placement.announced;

import java.util.Objects;

/**
 * A listed model, as placement sees it.
 *
 * @param name name of the model, unique over all pools
 * @param megabytes memory of its weights
 * @param adapterMegabytes memory of one of its adapters
 * @param storeSeconds time of a load from the weight store
 * @param diskSeconds time of a load from an engine's disk
 * @param memorySeconds time of a load from an engine's host memory
 */
public record ModelSize(
        String name,
        double megabytes,
        double adapterMegabytes,
        double storeSeconds,
        double diskSeconds,
        double memorySeconds) {
    /** Checks that there is a name. */
    public ModelSize {
        Objects.requireNonNull(name, "name");
    }
}
