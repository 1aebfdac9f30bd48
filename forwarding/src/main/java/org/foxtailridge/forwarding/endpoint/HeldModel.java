package org.foxtailridge.forwarding.endpoint;

import java.util.List;
import java.util.Objects;

/**
 * A model in the memory of an engine.
 *
 * @param name name of the model
 * @param version version of its weights
 * @param adapters names of its adapters in memory
 */
public record HeldModel(String name, long version, List<String> adapters) {
    /** Copies the list. */
    public HeldModel {
        Objects.requireNonNull(name, "name");
        adapters = List.copyOf(adapters);
    }
}
