package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;

/** Where endpoints are, and how many connections may lead there. */
public interface EndpointRegistry {
    /** Returns what an endpoint says of itself; empty when it is not announced. */
    Optional<EndpointAnnouncement> find(EndpointName endpoint);

    /** Returns the connections that this node may have open to an endpoint of a service. */
    int connectionLimit(String service);

    /** Another endpoint, or none, was found where this one was announced. */
    void reportAddressMismatch(EndpointName endpoint);
}
