package org.foxtailridge.forwarding.request;

import java.util.Objects;
import java.util.Optional;

/**
 * The model that a request asks for. Logs contain its {@code toString}, so the names of the type
 * and of its components stay.
 *
 * @param model name of the model
 * @param adapter name of its adapter; empty if none
 */
public record WantedModel(String model, Optional<String> adapter) {
    /** Rejects null components. */
    public WantedModel {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }
}
