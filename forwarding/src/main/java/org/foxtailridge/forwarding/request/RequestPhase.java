package org.foxtailridge.forwarding.request;

import java.util.EnumSet;
import java.util.Set;

/** Phases of a request's life. */
public enum RequestPhase {
    /** Nothing was asked yet. */
    NEW,
    /** Waits for tokens of its client account. */
    RESERVING,
    /** Waits for an endpoint with room. */
    QUEUED,
    /** Has an endpoint, which loads the adapter first. */
    PREPARING,
    /** Was sent; no part of the answer has reached the caller. */
    SENT,
    /** A part of the answer has reached the caller. */
    ANSWERING,
    /** The answer is complete, or was broken off. */
    ENDED;

    /** Returns the phases that may follow. */
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
