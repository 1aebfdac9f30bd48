package org.foxtailridge.forwarding.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a keyed stream.
 *
 * @param key its key
 * @param value its value; empty when the record drops the key. Not to be changed
 */
public record KeyedRecord(String key, Optional<byte[]> value) {
    /** Checks that no part is missing. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns a record that sets a key. */
    public static KeyedRecord of(String key, byte[] value) {
        return new KeyedRecord(key, Optional.of(value));
    }

    /** Returns a record that drops a key. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, Optional.empty());
    }
}
