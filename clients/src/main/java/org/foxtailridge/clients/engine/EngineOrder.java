package org.foxtailridge.clients.engine;

/**
 * Order to an engine.
 *
 * @param orderId identifier; the same order twice is executed once
 * @param fencing fencing number of the sender's lease
 * @param action {@code load_model}, {@code unload_model}, {@code load_adapter}, {@code
 *     unload_adapter} or {@code set_role}
 * @param name name of the model or adapter, or the role
 * @param model model of an adapter, else null
 * @param version version of the weights
 * @param bytes memory of the weights
 * @param workingBytes memory kept free beside the weights
 */
public record EngineOrder(
        String orderId,
        long fencing,
        String action,
        String name,
        String model,
        String version,
        long bytes,
        long workingBytes) {}
