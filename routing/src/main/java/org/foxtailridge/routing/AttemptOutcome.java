package org.foxtailridge.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The whole answer arrived. */
    FINISHED,
    /** This node cancelled it. */
    CANCELLED,
    /** The endpoint said that it has not begun and won't. */
    NOT_STARTED,
    /** No connection could be made, so that nothing was sent. */
    UNREACHABLE,
    /** The connection broke, the answer was malformed or didn't arrive in time. */
    FAILED
}
