package org.foxtailridge.placement.order;

/** What came back for a transmission of an order, or for a query of its state. */
public enum OrderAnswer {
    /** The engine executes the order at the moment. */
    RUNNING,
    /** The engine has executed the order. */
    DONE,
    /** The engine gave up on the order and holds nothing of it. */
    FAILED,
    /** The engine has not seen the order in this incarnation. Only queries are answered so. */
    UNKNOWN,
    /** The engine has seen a higher fencing number. */
    OLD_FENCING,
    /** The engine found too little free memory. */
    NO_MEMORY,
    /** No answer came in time; the transmission may still arrive. */
    LOST
}
