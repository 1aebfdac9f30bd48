package org.foxtailridge.routing;

import java.util.Objects;

/**
 * Change of the prefix cache of an endpoint: a prompt prefix was stored or evicted.
 *
 * @param sequence sequence number of the event in its incarnation; consecutive events differ by 1
 * @param kind whether the prefix was stored or evicted
 * @param model name of the model
 * @param prefix the prefix
 */
public record CacheEvent(long sequence, Kind kind, String model, PromptPrefix prefix) {
    /** Checks that no field is null. */
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
