package org.foxtailridge.forwarding.stream;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of a follower.
 *
 * @param longestWait longest time that a read waits at the log for a record
 * @param pause time between the end of a read and the next
 * @param retryPause time between a read that failed and the next
 */
public record FollowerTimes(Duration longestWait, Duration pause, Duration retryPause) {
    /** Checks that no time is missing. */
    public FollowerTimes {
        Objects.requireNonNull(longestWait, "longestWait");
        Objects.requireNonNull(pause, "pause");
        Objects.requireNonNull(retryPause, "retryPause");
    }
}
