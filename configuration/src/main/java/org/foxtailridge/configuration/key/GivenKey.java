package org.foxtailridge.configuration.key;

import java.util.Objects;
import org.foxtailridge.configuration.model.CallerKey;

/**
 * A new key and the entry to publish for it.
 *
 * @param key the key, to be shown once
 * @param entry the entry, which holds only a salted hash of the secret
 */
public record GivenKey(String key, CallerKey entry) {
    /** Checks that no part is missing. */
    public GivenKey {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(entry, "entry");
    }

    @Override
    public String toString() {
        return "GivenKey[entry=" + entry + "]";
    }
}
