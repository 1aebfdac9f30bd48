package org.foxtailridge.forwarding.request;

import java.util.EnumSet;
import java.util.Set;

/**
 * Phases of a {@link RequestStateMachine}. The constants are written to logs in lower case.
 *
 * <p>A request goes back to {@link #QUEUED} when an attempt has failed and another one is allowed.
 */
public enum RequestPhase {
    /** Created, not started. */
    NEW,
    /** Waits for a reservation of its client account's tokens. */
    RESERVING,
    /** Waits in the queue for an endpoint with capacity. */
    QUEUED,
    /** Was dispatched to an endpoint that has to load the adapter first. */
    PREPARING,
    /** Was sent to an endpoint; the caller has not received any part of the answer. */
    SENT,
    /** The caller has received a part of the answer. */
    ANSWERING,
    /** The answer is complete or was aborted; final. */
    ENDED;

    /** Returns the phases that may follow this one. */
    public Set<RequestPhase> next() {
        return switch (this) {
            case NEW -> EnumSet.of(RESERVING, QUEUED, ENDED);
            case RESERVING -> EnumSet.of(QUEUED, ENDED);
            case QUEUED -> EnumSet.of(PREPARING, SENT, ENDED);
            case PREPARING -> EnumSet.of(SENT, QUEUED, ENDED);
            case SENT -> EnumSet.of(ANSWERING, QUEUED, ENDED);
            case ANSWERING -> EnumSet.of(QUEUED, ENDED);
            case ENDED -> EnumSet.noneOf(RequestPhase.class);
        };
    }
}
