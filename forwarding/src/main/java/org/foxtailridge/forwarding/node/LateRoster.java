package org.foxtailridge.forwarding.node;

import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.front.EndpointRegistry;

/** A roster that is only there once the queue is, which needs the forwarder first. */
record LateRoster(Supplier<EndpointRegistry> roster) implements EndpointRegistry {
    @Override
    public Optional<EndpointAnnouncement> find(EndpointName endpoint) {
        return roster.get().find(endpoint);
    }

    @Override
    public int connectionLimit(String service) {
        return roster.get().connectionLimit(service);
    }

    @Override
    public void reportAddressMismatch(EndpointName endpoint) {
        roster.get().reportAddressMismatch(endpoint);
    }
}
