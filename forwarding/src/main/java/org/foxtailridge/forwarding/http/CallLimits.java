package org.foxtailridge.forwarding.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of one call.
 *
 * @param timeout maximum time until the answer is complete
 * @param maximumAnswerBytes maximum size of the answer's body; the answer occupies up to three
 *     times as much memory while it arrives
 */
public record CallLimits(Duration timeout, int maximumAnswerBytes) {
    /** Rejects a null timeout, and a maximum below 0. */
    public CallLimits {
        Objects.requireNonNull(timeout, "timeout");
        if (maximumAnswerBytes < 0) {
            throw new IllegalArgumentException(
                    "maximumAnswerBytes must not be negative but was " + maximumAnswerBytes);
        }
    }
}
