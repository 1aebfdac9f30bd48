package org.foxtailridge.routing;

import java.util.Objects;

/**
 * A prefix of a prompt that an engine may hold in its prefix cache.
 *
 * @param hash hash of the prefix, the same as in {@link CacheEvent}
 * @param tokens length of the prefix, in tokens; at least 1
 */
public record PromptPrefix(String hash, int tokens) {
    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException when the length is 0 or less
     */
    public PromptPrefix {
        Objects.requireNonNull(hash, "hash");
        if (tokens <= 0) {
            throw new IllegalArgumentException("tokens must be above 0 but was " + tokens);
        }
    }
}
