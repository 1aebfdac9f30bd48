package org.foxtailridge.forwarding.request;

import java.util.Objects;
import java.util.Optional;

/**
 * The model that a request asks for.
 *
 * @param model name of the model
 * @param adapter name of its adapter; empty for none
 */
public record WantedModel(String model, Optional<String> adapter) {
    /** Checks that no part is missing. */
    public WantedModel {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }
}
