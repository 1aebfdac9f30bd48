package org.foxtailridge.forwarding.request;

/** Times that the life of a request goes by. */
final class LifeTimes {
    /** Shortest rest of a request's time for which one more attempt is made, in milliseconds. */
    static final long LEAST_FOR_ATTEMPT_MILLISECONDS = 30;

    private LifeTimes() {}
}
