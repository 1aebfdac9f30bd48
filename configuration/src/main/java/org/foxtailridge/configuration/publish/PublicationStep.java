package org.foxtailridge.configuration.publish;

/** What to do next for an edit. */
public enum PublicationStep {
    /** Append its record to the log. */
    APPEND,
    /** Wait for the answer of the append. */
    AWAIT_ANSWER,
    /** Read the log up to its end with a read that begins from now on, and offer the state. */
    READ_BACK,
    /** Nothing; the outcome is known. */
    DONE,
    /** Nothing; the edit is not in the log as far as is known, and no attempt is left. */
    GIVEN_UP
}
