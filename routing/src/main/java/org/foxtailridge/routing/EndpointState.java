package org.foxtailridge.routing;

/** Availability of an endpoint for new attempts; only an endpoint that is up gets any. */
public enum EndpointState {
    /** The endpoint responds. */
    UP,
    /** The endpoint doesn't respond. */
    DOWN,
    /** The endpoint drains: it completes its requests and accepts no new ones. */
    LEAVING
}
