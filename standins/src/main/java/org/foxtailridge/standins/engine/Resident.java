package org.foxtailridge.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * A model or adapter in memory, as the load report shows it.
 *
 * @param kind {@code model} or {@code adapter}
 * @param name name of the model or adapter
 * @param model name of an adapter's model; absent for models
 * @param version version of the weights
 * @param bytes memory of the weights
 * @param state {@code loading}, {@code resident} or {@code unloading}
 */
public record Resident(
        String kind,
        String name,
        @JsonInclude(JsonInclude.Include.NON_NULL) String model,
        String version,
        long bytes,
        String state) {
    static final String LOADING = "loading";
    static final String RESIDENT = "resident";
    static final String UNLOADING = "unloading";
    static final String MODEL = "model";
    static final String ADAPTER = "adapter";

    Resident in(String newState) {
        return new Resident(kind, name, model, version, bytes, newState);
    }

    boolean isModel() {
        return MODEL.equals(kind);
    }
}
