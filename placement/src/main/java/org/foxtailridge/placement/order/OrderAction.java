package org.foxtailridge.placement.order;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Actions of orders to engines. */
public enum OrderAction {
    /** Loads a model. */
    @JsonProperty("load_model")
    LOAD_MODEL,
    /** Unloads a model. */
    @JsonProperty("unload_model")
    UNLOAD_MODEL,
    /** Loads an adapter. */
    @JsonProperty("load_adapter")
    LOAD_ADAPTER,
    /** Unloads an adapter. */
    @JsonProperty("unload_adapter")
    UNLOAD_ADAPTER;

    /** Returns whether the action takes memory. */
    public boolean isLoad() {
        return this == LOAD_MODEL || this == LOAD_ADAPTER;
    }
}
