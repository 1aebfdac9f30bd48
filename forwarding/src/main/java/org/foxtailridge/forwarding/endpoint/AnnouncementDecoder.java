package org.foxtailridge.forwarding.endpoint;

import java.util.Optional;

/** Reads what an endpoint writes of itself. */
@FunctionalInterface
public interface AnnouncementDecoder {
    /** Returns the announcement; empty when the bytes name no endpoint that can be used. */
    Optional<EndpointAnnouncement> decode(String key, byte[] value);
}
