package org.foxtailridge.forwarding.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * A group of endpoints that answer the same requests.
 *
 * @param name name of the service
 * @param healthPath path that answers 200 while an endpoint is healthy
 * @param maximumConnections connections that one endpoint accepts from all nodes together
 * @param engines common properties of its model engines; empty for a service without them
 */
public record ForwardingService(
        String name, String healthPath, int maximumConnections, Optional<EnginePool> engines) {
    /** Rejects null components. */
    public ForwardingService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(engines, "engines");
    }
}
