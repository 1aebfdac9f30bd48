package org.foxtailridge.forwarding.configuration;

/** Whether the requests of a route may run more than once. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    AT_MOST_ONCE,
    /** Answered with a stream of events; may run at most once unless the route is resumable. */
    STREAM
}
