package org.foxtailridge.routing;

import java.util.Objects;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** Decision of a {@link Router} for one request. */
public sealed interface RoutingDecision {
    /**
     * Send the request to an endpoint.
     *
     * @param endpoint the endpoint
     * @param version version of the model to request; empty for plain services
     * @param expectedMilliseconds expected time to the first token, in milliseconds; 0 if unknown
     * @param mustLoadAdapter whether the adapter must be loaded before the request is sent, because
     *     it isn't expected to be resident
     */
    record Dispatch(
            EndpointName endpoint,
            String version,
            double expectedMilliseconds,
            boolean mustLoadAdapter)
            implements RoutingDecision {}

    /** Keep the request queued until an attempt ends or an endpoint changes, then choose again. */
    record Await() implements RoutingDecision {}

    /**
     * Refuse the request. No endpoint has begun to execute this attempt.
     *
     * @param kind kind of the refusal
     * @param retryAfterSeconds seconds after which a retry may succeed
     */
    record Refuse(ErrorKind kind, int retryAfterSeconds) implements RoutingDecision {
        /** Checks that the kind isn't null. */
        public Refuse {
            Objects.requireNonNull(kind, "kind");
        }
    }
}
