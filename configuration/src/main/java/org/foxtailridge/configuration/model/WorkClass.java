package org.foxtailridge.configuration.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Classes of work, from the most to the least urgent. */
public enum WorkClass {
    /** A caller waits for the first token or for the answer. */
    @JsonProperty("interactive")
    INTERACTIVE,
    /** Must complete, however long it takes. */
    @JsonProperty("must_complete")
    MUST_COMPLETE,
    /** Due by a time; uses spare room until then. */
    @JsonProperty("due_by")
    DUE_BY
}
