package org.foxtailridge.routing;

/** Outcome of an attempt. */
public enum AttemptOutcome {
    /** The complete answer was received. */
    FINISHED,
    /** This node cancelled the attempt. */
    CANCELLED,
    /** The endpoint refused the request and did not begin to execute it. */
    NOT_STARTED,
    /** No connection could be opened, so no part of the request was sent. */
    UNREACHABLE,
    /**
     * The connection broke, or the answer was malformed or too late; the request may have begun.
     */
    FAILED
}
