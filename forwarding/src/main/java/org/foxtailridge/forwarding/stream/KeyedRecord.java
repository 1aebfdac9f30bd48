package org.foxtailridge.forwarding.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * Record of a keyed stream.
 *
 * @param key key of the record
 * @param value value of the key, not copied and not to be changed; empty in a tombstone
 */
public record KeyedRecord(String key, Optional<byte[]> value) {
    /** Creates a record; neither component may be null. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns a record that sets the value of a key. */
    public static KeyedRecord of(String key, byte[] value) {
        return new KeyedRecord(key, Optional.of(value));
    }

    /** Returns a tombstone: a record without a value, which deletes the key. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, Optional.empty());
    }
}
