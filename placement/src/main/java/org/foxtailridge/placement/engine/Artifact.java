package org.foxtailridge.placement.engine;

import java.util.Objects;

/**
 * One version of a model's or an adapter's weights. An engine holds an artifact at most once.
 *
 * @param kind model or adapter
 * @param name name of the model or adapter
 * @param model name of the model; the same as {@code name} for a model
 * @param version version of the weights
 */
public record Artifact(ArtifactKind kind, String name, String model, String version) {
    /** Checks that nothing is missing. */
    public Artifact {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the artifact of a model's version. */
    public static Artifact model(String name, String version) {
        return new Artifact(ArtifactKind.MODEL, name, name, version);
    }

    /** Returns the artifact of an adapter's version. */
    public static Artifact adapter(String name, String model, String version) {
        return new Artifact(ArtifactKind.ADAPTER, name, model, version);
    }

    /** Returns whether these are the weights of a model. */
    public boolean isModel() {
        return kind == ArtifactKind.MODEL;
    }
}
