package org.foxtailridge.routing;

import java.util.Objects;
import org.foxtailridge.core.error.ErrorKind;
import org.foxtailridge.core.name.EndpointName;

/** What to do with a request now. */
public sealed interface RoutingDecision {
    /**
     * Send it to an endpoint.
     *
     * @param endpoint the endpoint
     * @param version version of the model to ask for; empty for plain services
     * @param expectedMilliseconds expected time to the first token, in milliseconds
     * @param mustLoadAdapter whether the adapter isn't thought to be resident there and must be
     *     loaded before the request is sent
     */
    record Dispatch(
            EndpointName endpoint,
            String version,
            double expectedMilliseconds,
            boolean mustLoadAdapter)
            implements RoutingDecision {}

    /** Wait until an attempt ends or an endpoint changes, then choose again. */
    record Await() implements RoutingDecision {}

    /**
     * Refuse it. No endpoint has begun it.
     *
     * @param kind kind of the refusal
     * @param retryAfterSeconds seconds after which a retry may succeed
     */
    record Refuse(ErrorKind kind, int retryAfterSeconds) implements RoutingDecision {
        /** Checks the kind. */
        public Refuse {
            Objects.requireNonNull(kind, "kind");
        }
    }
}
