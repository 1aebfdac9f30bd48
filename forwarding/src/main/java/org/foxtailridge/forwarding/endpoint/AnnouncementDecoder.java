package org.foxtailridge.forwarding.endpoint;

import java.util.Optional;

/** Decodes the announcements that endpoints write to the keyed stream. */
@FunctionalInterface
public interface AnnouncementDecoder {
    /** Returns the announcement; empty if the bytes are unreadable or name no usable endpoint. */
    Optional<EndpointAnnouncement> decode(String key, byte[] value);
}
