package org.foxtailridge.clients.engine;

/**
 * Something in an engine's accelerator memory.
 *
 * @param kind {@code model} or {@code adapter}
 * @param name name of the model or adapter
 * @param model model of an adapter, else null
 * @param version version of the weights
 * @param bytes memory taken
 * @param state {@code loading}, {@code resident} or {@code unloading}
 */
public record Resident(
        String kind, String name, String model, String version, long bytes, String state) {
    /** Returns whether it is an adapter. */
    public boolean isAdapter() {
        return "adapter".equals(kind);
    }
}
