package org.foxtailridge.forwarding.http;

import java.util.Objects;
import java.util.Optional;

/**
 * Under which terms a request goes to an endpoint.
 *
 * @param endpointId name of the endpoint that is meant
 * @param accountName name of the client account; empty on an open route
 * @param remainingMilliseconds time until the caller gives up
 * @param resumeAfter identifier of the last event that the caller has; empty for a new stream
 * @param priority rank at the endpoint, 0 first
 */
public record AttemptParameters(
        String endpointId,
        Optional<String> accountName,
        long remainingMilliseconds,
        Optional<String> resumeAfter,
        int priority) {
    /** Checks that no part is missing. */
    public AttemptParameters {
        Objects.requireNonNull(endpointId, "endpointId");
        Objects.requireNonNull(accountName, "accountName");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
    }
}
