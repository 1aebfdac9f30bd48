package org.foxtailridge.routing;

import java.util.Objects;

/**
 * A prefix that entered or left the cache of an endpoint.
 *
 * @param sequence number of the event, which grows by one
 * @param kind whether it entered or left
 * @param model name of the model
 * @param prefix the prefix
 */
public record CacheEvent(long sequence, Kind kind, String model, PromptPrefix prefix) {
    /** Checks the fields. */
    public CacheEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prefix, "prefix");
    }

    /** Kinds of cache events. */
    public enum Kind {
        /** The prefix entered the cache. */
        STORED,
        /** The prefix left the cache. */
        EVICTED
    }
}
