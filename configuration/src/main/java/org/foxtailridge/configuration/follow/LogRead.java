package org.foxtailridge.configuration.follow;

import java.time.Duration;
import java.util.Objects;

/**
 * A read of the stream {@code configuration}.
 *
 * @param request number that the answer repeats
 * @param from offset of the first record wanted
 * @param limit largest number of records wanted
 * @param waitTime time that the log may wait for a record
 */
public record LogRead(long request, long from, int limit, Duration waitTime) {
    /** Checks that no part is missing. */
    public LogRead {
        Objects.requireNonNull(waitTime, "waitTime");
    }
}
