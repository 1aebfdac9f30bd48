package org.foxtailridge.forwarding.node;

import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;
import org.foxtailridge.forwarding.front.EndpointRegistry;

/**
 * Registry of endpoints whose delegate is looked up at each call. It breaks a cycle between
 * constructors: the registry needs the scheduler, the scheduler needs the forwarder, and the
 * forwarder needs the registry.
 *
 * @param registry supplies the delegate, which must exist at the first call
 */
record DeferredEndpointRegistry(Supplier<EndpointRegistry> registry) implements EndpointRegistry {
    @Override
    public Optional<EndpointAnnouncement> find(EndpointName endpoint) {
        return registry.get().find(endpoint);
    }

    @Override
    public int connectionLimit(String service) {
        return registry.get().connectionLimit(service);
    }

    @Override
    public void reportAddressMismatch(EndpointName endpoint) {
        registry.get().reportAddressMismatch(endpoint);
    }
}
