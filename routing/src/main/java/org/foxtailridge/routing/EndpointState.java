package org.foxtailridge.routing;

/** Whether an endpoint may be chosen. */
public enum EndpointState {
    /** Answers. */
    UP,
    /** Does not answer. */
    DOWN,
    /** Finishes what it has and takes nothing new. */
    LEAVING
}
