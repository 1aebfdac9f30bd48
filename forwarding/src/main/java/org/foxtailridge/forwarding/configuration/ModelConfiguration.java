package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * A model that the engines of a service may load.
 *
 * @param name name of the model
 * @param weightsMegabytes memory that its weights need
 * @param storeLoadTime time to load it from the weight store
 * @param diskLoadTime time to load it from the engine's own disk
 * @param memoryLoadTime time to load it from the engine's host memory
 * @param adapterCount number of its adapters
 * @param adapterMegabytes memory that one adapter needs
 */
public record ModelConfiguration(
        String name,
        double weightsMegabytes,
        Duration storeLoadTime,
        Duration diskLoadTime,
        Duration memoryLoadTime,
        int adapterCount,
        double adapterMegabytes) {
    /** Rejects null components. */
    public ModelConfiguration {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoadTime, "storeLoadTime");
        Objects.requireNonNull(diskLoadTime, "diskLoadTime");
        Objects.requireNonNull(memoryLoadTime, "memoryLoadTime");
    }
}
