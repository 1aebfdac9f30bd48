package org.foxtailridge.standins.engine;

/**
 * A change of the prefix cache.
 *
 * @param sequence number of the event; gaps are events that were lost
 * @param kind {@code stored} or {@code evicted}
 * @param model name of the model
 * @param prefix hash of model, adapter and the prefix's characters; see {@link PrefixCache#hashOf}
 * @param tokens tokens of the whole prefix
 */
public record CacheEvent(long sequence, String kind, String model, String prefix, int tokens) {}
