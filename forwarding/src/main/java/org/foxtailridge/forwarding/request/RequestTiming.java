package org.foxtailridge.forwarding.request;

/** Times that the life of a request goes by. */
final class RequestTiming {
    /** Shortest rest of a request's time for which one more attempt is made, in milliseconds. */
    static final long LEAST_FOR_ATTEMPT_MILLISECONDS = 30;

    /** Part of its time that a request needs to be answered once it was sent. */
    static final int RUN_SHARE = 8;

    /** Time that a first event takes from an endpoint with room, in milliseconds. */
    static final long FIRST_EVENT_MILLISECONDS = 400;

    private RequestTiming() {}
}
