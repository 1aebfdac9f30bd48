package org.foxtailridge.clients.engine;

/**
 * Change of an engine's prefix cache.
 *
 * @param sequence number of the event; a jump means that events were lost
 * @param kind {@code stored} or {@code evicted}
 * @param model name of the model
 * @param prefix hash of the prefix
 * @param tokens tokens of the prefix
 */
public record CacheEvent(long sequence, String kind, String model, String prefix, int tokens) {}
