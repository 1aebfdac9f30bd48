package org.foxtailridge.execution.claim;

/** How an append to the log ended. */
public enum AppendResult {
    /** The log has answered that the records are stored. */
    STORED,
    /** The log has answered that it has not stored the records and will not. */
    REFUSED,
    /** No answer came; the records may be stored, now or later. */
    LOST
}
