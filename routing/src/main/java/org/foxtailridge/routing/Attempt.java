package org.foxtailridge.routing;

import java.util.Objects;
import org.foxtailridge.core.name.EndpointName;

/**
 * One attempt to run a request on one endpoint.
 *
 * @param attemptId identifier of the attempt, unique over all nodes
 * @param endpoint the endpoint
 * @param request the request
 */
public record Attempt(String attemptId, EndpointName endpoint, RouteRequest request) {
    /** Checks that no field is null. */
    public Attempt {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(request, "request");
    }
}
