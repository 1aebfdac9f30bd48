package org.foxtailridge.forwarding.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * A group of endpoints that answer the same requests.
 *
 * @param name name of the service
 * @param healthPath path that answers 200 while an endpoint is healthy
 * @param maximumConnections connections that one endpoint accepts of all nodes together
 * @param engines what its model engines have in common; empty for a plain service
 */
public record ForwardingService(
        String name, String healthPath, int maximumConnections, Optional<EnginePool> engines) {
    /** Checks that no part is missing. */
    public ForwardingService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(engines, "engines");
    }
}
