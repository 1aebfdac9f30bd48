package org.foxtailridge.forwarding.endpoint;

import java.util.Optional;

/** Receives changes of the announced endpoints. */
public interface EndpointListener {
    /**
     * Called when an endpoint is announced for the first time or with a changed announcement.
     *
     * @param former previous announcement; empty if the endpoint was not announced
     * @param current current announcement
     */
    void announced(Optional<EndpointAnnouncement> former, EndpointAnnouncement current);

    /** Called when an endpoint is no longer announced. */
    void gone(EndpointAnnouncement former);

    /** All changes of one batch of records, or of one tick, have been passed on. */
    default void batchApplied() {}
}
