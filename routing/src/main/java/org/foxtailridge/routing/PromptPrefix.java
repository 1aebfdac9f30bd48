package org.foxtailridge.routing;

import java.util.Objects;

/**
 * A prefix of a prompt that an engine may hold in its cache.
 *
 * @param hash hash of the prefix, as in cache events
 * @param tokens length of the prefix, in tokens
 */
public record PromptPrefix(String hash, int tokens) {
    /** Checks the length. */
    public PromptPrefix {
        Objects.requireNonNull(hash, "hash");
        if (tokens <= 0) {
            throw new IllegalArgumentException("tokens must be above 0 but was " + tokens);
        }
    }
}
