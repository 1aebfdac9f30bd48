package org.foxtailridge.forwarding.request;

/** Time constants of the request state machine. */
final class RequestTiming {
    /** Minimum time left until the deadline for which another attempt is made. */
    static final long MINIMUM_ATTEMPT_MILLISECONDS = 30;

    /** The last eighth of a request's time is reserved for the answer after dispatch. */
    static final int ANSWER_TIME_DIVISOR = 8;

    /** Time that an endpoint with capacity takes to send the first event of a stream. */
    static final long FIRST_EVENT_MILLISECONDS = 400;

    private RequestTiming() {}
}
