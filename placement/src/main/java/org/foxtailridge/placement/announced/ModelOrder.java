package org.foxtailridge.placement.announced;

import java.util.Objects;
import java.util.Optional;

/**
 * An order to an engine.
 *
 * @param number number that tells orders of this node apart
 * @param engine name of the engine
 * @param load whether to load; otherwise to unload
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 * @param expectedOrders orders that the engine must have accepted for this one to be carried out
 * @param fencing fencing number of the duty
 */
public record ModelOrder(
        long number,
        String engine,
        boolean load,
        String model,
        Optional<String> adapter,
        long expectedOrders,
        long fencing) {
    /** Checks that no part is missing. */
    public ModelOrder {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }
}
