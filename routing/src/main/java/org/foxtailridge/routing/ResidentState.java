package org.foxtailridge.routing;

/** State of a model or adapter on an endpoint. */
public enum ResidentState {
    /** On its way from the weight store. */
    LOADING,
    /** Able to serve. */
    RESIDENT,
    /** Taking no new requests. */
    UNLOADING
}
