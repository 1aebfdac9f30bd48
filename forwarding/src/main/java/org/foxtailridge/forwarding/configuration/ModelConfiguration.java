package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * A model that the engines of a service may hold.
 *
 * @param name name of the model
 * @param weightsMegabytes memory of its weights
 * @param storeLoadTime time of a load from the weight store
 * @param diskLoadTime time of a load from the engine's own disk
 * @param memoryLoadTime time of a load from the engine's host memory
 * @param adapterCount number of its adapters
 * @param adapterMegabytes memory of one adapter
 */
public record ModelConfiguration(
        String name,
        double weightsMegabytes,
        Duration storeLoadTime,
        Duration diskLoadTime,
        Duration memoryLoadTime,
        int adapterCount,
        double adapterMegabytes) {
    /** Checks that no part is missing. */
    public ModelConfiguration {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoadTime, "storeLoadTime");
        Objects.requireNonNull(diskLoadTime, "diskLoadTime");
        Objects.requireNonNull(memoryLoadTime, "memoryLoadTime");
    }
}
