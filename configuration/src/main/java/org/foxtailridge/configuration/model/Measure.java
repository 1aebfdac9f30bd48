package org.foxtailridge.configuration.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a service-level objective measures. */
public enum Measure {
    /** Time from the request to the first token. */
    @JsonProperty("first_token")
    FIRST_TOKEN,
    /** Largest time between two tokens of an answer. */
    @JsonProperty("between_tokens")
    BETWEEN_TOKENS,
    /** Time from the request to the end of the answer. */
    @JsonProperty("completion")
    COMPLETION,
    /** Whether the answer was whole. */
    @JsonProperty("availability")
    AVAILABILITY
}
