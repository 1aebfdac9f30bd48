package org.foxtailridge.forwarding.configuration;

import java.util.Objects;

/**
 * A service with its share of a route's requests.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route; not negative
 */
public record WeightedService(String service, int weight) {
    /**
     * Checks the weight.
     *
     * @throws IllegalArgumentException if the weight is negative
     */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative but was " + weight);
        }
    }
}
