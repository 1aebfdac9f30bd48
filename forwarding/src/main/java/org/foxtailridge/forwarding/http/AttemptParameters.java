package org.foxtailridge.forwarding.http;

import java.util.Objects;
import java.util.Optional;

/**
 * Parameters of an attempt that are sent to the endpoint as headers.
 *
 * @param endpointId name of the endpoint for which the attempt is intended
 * @param accountName name of the client account; empty on an open route
 * @param remainingMilliseconds time until the caller's deadline
 * @param resumeAfter identifier of the last event that the caller has received; empty for a new
 *     stream
 * @param priority priority at the endpoint; 0 is the highest
 */
public record AttemptParameters(
        String endpointId,
        Optional<String> accountName,
        long remainingMilliseconds,
        Optional<String> resumeAfter,
        int priority) {
    /** Creates parameters; no component may be null. */
    public AttemptParameters {
        Objects.requireNonNull(endpointId, "endpointId");
        Objects.requireNonNull(accountName, "accountName");
        Objects.requireNonNull(resumeAfter, "resumeAfter");
    }
}
