package org.foxtailridge.configuration.model;

import java.util.Objects;

/**
 * An adapter of a model. Callers name it as {@code model:adapter}.
 *
 * @param name name of the adapter
 * @param model name of the model that it adapts
 * @param version version of its weights
 * @param bytes accelerator memory that it takes
 */
public record Adapter(String name, String model, String version, long bytes)
        implements ConfigurationEntry {
    /** Checks that no part is missing. */
    public Adapter {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
    }
}
