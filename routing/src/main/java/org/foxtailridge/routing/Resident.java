package org.foxtailridge.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * A model or adapter in the accelerator memory of an endpoint.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 * @param version version of the model or of the adapter
 * @param state whether it can serve
 */
public record Resident(
        String model, Optional<String> adapter, String version, ResidentState state) {
    /** Checks that no field is null. */
    public Resident {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
    }

    /** Returns a resident model, able to serve. */
    public static Resident model(String model, String version) {
        return new Resident(model, Optional.empty(), version, ResidentState.RESIDENT);
    }

    /** Returns a resident adapter, able to serve. */
    public static Resident adapter(String model, String adapter, String version) {
        return new Resident(model, Optional.of(adapter), version, ResidentState.RESIDENT);
    }
}
