package org.foxtailridge.forwarding.http;

import java.util.Objects;
import java.util.Optional;

/**
 * Under which terms a request goes to an endpoint.
 *
 * @param endpointId name of the endpoint that is meant
 * @param accountName name of the client account; empty on an open route
 * @param leftMilliseconds time until the caller gives up
 * @param resumeAfter identifier of the last event that the caller has; empty for a new stream
 * @param priority rank at the endpoint, 0 first
 */
public record SendTerms(
        String endpointId,
        Optional<String> accountName,
        long leftMilliseconds,
        Optional<String> resumeAfter,
        int priority) {
    /** Checks that no part is missing. */
    public SendTerms {
        Objects.requireNonNull(endpointId, "endpointId");
        Objects.requireNonNull(accountName, "accountName");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
    }
}
