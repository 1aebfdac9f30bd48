package org.foxtailridge.forwarding.configuration;

/** What may be repeated of the requests of a route. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run once at most. */
    AT_MOST_ONCE,
    /** Answers with a stream of events; may run once at most unless the route is resumable. */
    STREAM
}
