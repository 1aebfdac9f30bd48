package org.foxtailridge.forwarding.front;

import java.util.Optional;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.forwarding.endpoint.EndpointAnnouncement;

/** Registry of announced endpoints and of the connection limits towards them. */
public interface EndpointRegistry {
    /** Returns the announcement of an endpoint; empty if it is not announced. */
    Optional<EndpointAnnouncement> find(EndpointName endpoint);

    /** Returns how many connections this node may open to one endpoint of a service. */
    int connectionLimit(String service);

    /** Reports that another endpoint, or none, answered at the address announced for this one. */
    void reportAddressMismatch(EndpointName endpoint);
}
