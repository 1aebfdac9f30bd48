package org.foxtailridge.execution.claim;

import java.util.Optional;
import java.util.UUID;

/** Reads the time out of idempotency keys that carry one. */
final class KeyAge {
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIME_SHIFT = 16;

    private KeyAge() {}

    /** Returns the milliseconds since the epoch in a UUID of version 7, empty for other keys. */
    static Optional<Long> createdMilliseconds(String idempotencyKey) {
        try {
            UUID key = UUID.fromString(idempotencyKey);
            return key.version() == TIME_ORDERED_VERSION
                    ? Optional.of(key.getMostSignificantBits() >>> TIME_SHIFT)
                    : Optional.empty();
        } catch (IllegalArgumentException notUuid) {
            return Optional.empty();
        }
    }
}
