package org.foxtailridge.forwarding.endpoint;

import java.util.List;
import java.util.Objects;

/**
 * A model resident in the memory of an engine. Logs contain its {@code toString}, so the names of
 * the type and of its components stay.
 *
 * @param name name of the model
 * @param version version of its weights
 * @param adapters names of its resident adapters
 */
public record HeldModel(String name, long version, List<String> adapters) {
    /** Rejects null names and copies the list. */
    public HeldModel {
        Objects.requireNonNull(name, "name");
        adapters = List.copyOf(adapters);
    }
}
