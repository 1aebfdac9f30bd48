package org.foxtailridge.placement.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of an artifact on an engine. All states take memory; only RESIDENT serves requests. */
public enum ResidentState {
    /** On its way from the weight store. */
    @JsonProperty("loading")
    LOADING,
    /** Loaded and able to serve. */
    @JsonProperty("resident")
    RESIDENT,
    /** Being removed; its memory is still taken. */
    @JsonProperty("unloading")
    UNLOADING
}
