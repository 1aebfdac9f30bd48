package org.foxtailridge.placement.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kinds of weights that an engine loads. */
public enum ArtifactKind {
    /** Weights of a model. */
    @JsonProperty("model")
    MODEL,
    /** Weights of an adapter of a model. */
    @JsonProperty("adapter")
    ADAPTER
}
