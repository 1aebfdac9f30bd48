package org.foxtailridge.standins.weights;

/**
 * One load from the weight store.
 *
 * @param engine name of the engine that loads
 * @param kind {@code model} or {@code adapter}
 * @param name name of the model or adapter
 * @param version version of the weights
 * @param bytes size of the weights
 */
public record LoadRequest(String engine, String kind, String name, String version, long bytes) {
    boolean isAdapter() {
        return "adapter".equals(kind);
    }
}
