package org.foxtailridge.clients.engine;

import java.util.List;

/**
 * Consecutive cache events.
 *
 * @param first lowest sequence number still held
 * @param next sequence number of the next event
 * @param events events in order
 */
public record CacheEventPage(long first, long next, List<CacheEvent> events) {
    /** Copies the list. */
    public CacheEventPage {
        events = events == null ? List.of() : List.copyOf(events);
    }
}
