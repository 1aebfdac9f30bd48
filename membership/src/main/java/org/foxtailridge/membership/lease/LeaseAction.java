package org.foxtailridge.membership.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kind of a {@link LeaseOperation}. */
enum LeaseAction {
    @JsonProperty("acquire")
    ACQUIRE,
    @JsonProperty("renew")
    RENEW,
    @JsonProperty("release")
    RELEASE
}
