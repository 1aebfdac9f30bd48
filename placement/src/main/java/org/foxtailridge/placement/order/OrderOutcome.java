package org.foxtailridge.placement.order;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How an order ended. */
public enum OrderOutcome {
    /** The engine confirmed it. */
    @JsonProperty("done")
    DONE,
    /** The engine refused it or failed at it; it took no memory that it still holds. */
    @JsonProperty("failed")
    FAILED,
    /** It was not executed and can't be any more in this incarnation of the engine. */
    @JsonProperty("void")
    VOID,
    /** It was recorded, but never sent. */
    @JsonProperty("abandoned")
    ABANDONED
}
