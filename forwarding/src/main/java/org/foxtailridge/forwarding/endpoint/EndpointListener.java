package org.foxtailridge.forwarding.endpoint;

import java.util.Optional;

/** Is told of changes of the announced endpoints. */
public interface EndpointListener {
    /**
     * An endpoint is announced, or announced differently.
     *
     * @param former what it said before; empty when it wasn't announced
     * @param current what it says now
     */
    void announced(Optional<EndpointAnnouncement> former, EndpointAnnouncement current);

    /** An endpoint is not announced any more. */
    void gone(EndpointAnnouncement former);
}
