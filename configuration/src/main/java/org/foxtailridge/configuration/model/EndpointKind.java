package org.foxtailridge.configuration.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an endpoint runs. */
public enum EndpointKind {
    /** A model engine. */
    @JsonProperty("engine")
    ENGINE,
    /** Plain services. */
    @JsonProperty("service")
    SERVICE
}
