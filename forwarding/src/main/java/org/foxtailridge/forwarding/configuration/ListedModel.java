package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * A model that the engines of a service may hold.
 *
 * @param name name of the model
 * @param megabytes memory of its weights
 * @param storeLoad time of a load from the weight store
 * @param diskLoad time of a load from the engine's own disk
 * @param memoryLoad time of a load from the engine's host memory
 * @param adapters number of its adapters
 * @param adapterMegabytes memory of one adapter
 */
public record ListedModel(
        String name,
        double megabytes,
        Duration storeLoad,
        Duration diskLoad,
        Duration memoryLoad,
        int adapters,
        double adapterMegabytes) {
    /** Checks that no part is missing. */
    public ListedModel {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoad, "storeLoad");
        Objects.requireNonNull(diskLoad, "diskLoad");
        Objects.requireNonNull(memoryLoad, "memoryLoad");
    }
}
