package org.foxtailridge.membership.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an operation of a lease record does. */
enum LeaseAction {
    @JsonProperty("acquire")
    ACQUIRE,
    @JsonProperty("renew")
    RENEW,
    @JsonProperty("release")
    RELEASE
}
