package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Route of the requests with a given host and path prefix: target services, time limits, retries.
 *
 * @param name name of the route
 * @param host host of the requests, without a port
 * @param pathPrefix prefix of the paths; begins and ends with a slash
 * @param kind whether requests may run more than once
 * @param timeout maximum time until the answer is complete
 * @param targetLatency target time until the answer, or the first event of a stream
 * @param priority priority of its requests, 0 for the highest
 * @param services services that share the requests by weight; at least one
 * @param maximumEndpoints maximum number of endpoints that one request is sent to; at least 1
 * @param open whether requests need no API key
 * @param resumable whether another endpoint may continue an interrupted stream
 * @param targetEventGap target time between two events of a stream; empty if there is none
 * @param eventTimeout time without an event after which callers close a stream; empty if they wait
 *     until the end
 */
public record ForwardingRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        int priority,
        List<WeightedService> services,
        int maximumEndpoints,
        boolean open,
        boolean resumable,
        Optional<Duration> targetEventGap,
        Optional<Duration> eventTimeout) {
    /**
     * Checks the components and copies the list.
     *
     * @throws IllegalArgumentException if there is no service, or {@code maximumEndpoints} is below
     *     1
     */
    public ForwardingRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(targetEventGap, "targetEventGap");
        Objects.requireNonNull(eventTimeout, "eventTimeout");
        services = List.copyOf(services);
        if (services.isEmpty() || maximumEndpoints < 1) {
            throw new IllegalArgumentException(
                    "expected a service and at least 1 endpoint for route "
                            + name
                            + " but got "
                            + services
                            + " and "
                            + maximumEndpoints);
        }
    }

    /** Returns whether a request may be sent again after an endpoint may have run it. */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Chooses the service of a request by weight.
     *
     * @param draw uniform random number in the range [0, 1)
     */
    public String service(double draw) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        double rest = draw * total;
        for (WeightedService weighted : services) {
            rest -= weighted.weight();
            if (rest < 0) {
                return weighted.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
