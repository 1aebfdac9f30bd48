package org.foxtailridge.routing;

import java.util.Objects;
import org.foxtailridge.core.name.EndpointName;

/**
 * One try of a request on one endpoint.
 *
 * @param attemptId identifier of the attempt, unique over all nodes
 * @param endpoint the endpoint
 * @param request the request
 */
public record Attempt(String attemptId, EndpointName endpoint, RouteRequest request) {
    /** Checks the fields. */
    public Attempt {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(request, "request");
    }
}
