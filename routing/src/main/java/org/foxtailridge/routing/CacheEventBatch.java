package org.foxtailridge.routing;

import java.util.List;

/**
 * Cache events of one endpoint in order of their numbers.
 *
 * @param incarnation incarnation of the endpoint that the events belong to
 * @param events the events; a jump in their numbers shows that some were lost
 */
public record CacheEventBatch(long incarnation, List<CacheEvent> events) {
    /** Copies the list. */
    public CacheEventBatch {
        events = List.copyOf(events);
    }
}
