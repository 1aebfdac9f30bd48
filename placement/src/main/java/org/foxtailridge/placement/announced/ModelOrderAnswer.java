package org.foxtailridge.placement.announced;

/** Answer to an order. */
public enum ModelOrderAnswer {
    /** The engine carries it out. */
    ACCEPTED,
    /** What it asks for holds already. */
    HOLDS,
    /** Another order is under way, or the engine has accepted another number of orders. */
    CONFLICT,
    /** The engine won't carry it out. */
    REFUSED,
    /** The order was not sent. */
    NOT_SENT,
    /** No answer came; the engine may carry it out later. */
    LOST
}
