package org.foxtailridge.routing;

import java.util.List;

/**
 * Batch of cache events of one endpoint in the order of their sequence numbers.
 *
 * @param incarnation incarnation of the endpoint that the events belong to
 * @param events the events; a gap in the sequence numbers means that events were lost
 */
public record CacheEventBatch(long incarnation, List<CacheEvent> events) {
    /** Copies the list, so that the batch is immutable. */
    public CacheEventBatch {
        events = List.copyOf(events);
    }
}
