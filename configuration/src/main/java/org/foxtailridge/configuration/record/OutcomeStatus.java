package org.foxtailridge.configuration.record;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What became of an edit. */
public enum OutcomeStatus {
    /** Its changes are in force as of its offset. */
    @JsonProperty("in_force")
    IN_FORCE,
    /** Another edit of the same entry came first; nothing of it is in force. */
    @JsonProperty("lost")
    LOST,
    /** It could not be read or its result would be invalid; nothing of it is in force. */
    @JsonProperty("refused")
    REFUSED
}
