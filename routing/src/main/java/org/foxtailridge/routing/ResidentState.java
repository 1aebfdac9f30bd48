package org.foxtailridge.routing;

/** State of a model or adapter on an endpoint. */
public enum ResidentState {
    /** Being loaded from the weight store. */
    LOADING,
    /** Able to serve. */
    RESIDENT,
    /** Being unloaded; accepts no new requests. */
    UNLOADING
}
