package org.foxtailridge.forwarding.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Where requests of a host and path prefix go, and what they may cost.
 *
 * @param name name of the route
 * @param host host that requests name, without a port
 * @param pathPrefix start of the paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting
 * @param targetLatency time within which the answer, or its first event, is on time
 * @param priority rank among the routes; 0 is the most urgent
 * @param services where the requests go, by weight; at least one
 * @param maximumEndpoints endpoints that one request may be sent to
 * @param open whether requests need no key
 * @param resumable whether a stream may be continued by another run
 * @param targetEventGap longest pause between two events that is on time; empty when not bounded
 * @param eventTimeout time without an event after which callers leave a stream; empty when they
 *     wait to the end
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
    /** Checks the parts and copies the list. */
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

    /** Returns whether a request may run again after it may have run once. */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Returns the service of a request.
     *
     * @param draw number from 0 to below 1, by which the weights are drawn
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
