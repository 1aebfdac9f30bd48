package org.foxtailridge.forwarding.node;

import java.time.Duration;
import org.foxtailridge.forwarding.stream.FollowerTimings;

/** Timings with which a node follows the streams of the log, by its role. */
enum ReadTimings {
    /** Small fleet: every node reads. */
    DIRECT(
            timings(Duration.ofSeconds(4), Duration.ZERO, Duration.ofMillis(250)),
            timings(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(250)),
            timings(Duration.ZERO, Duration.ofSeconds(2), Duration.ofSeconds(1))),
    /** Collector of a data centre: reads for the nodes that report to it. */
    READER(
            // A long poll confirms the configuration only when it ends.
            timings(Duration.ofSeconds(1), Duration.ZERO, Duration.ofMillis(250)),
            timings(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(250)),
            timings(Duration.ZERO, Duration.ofSeconds(2), Duration.ofSeconds(1))),
    /** Informed by the collector; reads when the collector has confirmed nothing for too long. */
    RELAYED(
            timings(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(250))
                    .relayedUpTo(Duration.ofMillis(2_000)),
            timings(Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(250))
                    .relayedUpTo(Duration.ofMillis(1_300)),
            // Membership tells of new and lost nodes.
            timings(Duration.ZERO, Duration.ofSeconds(20), Duration.ofSeconds(1)));

    private final FollowerTimings mConfiguration;
    private final FollowerTimings mEndpoints;
    private final FollowerTimings mNodes;

    ReadTimings(FollowerTimings configuration, FollowerTimings endpoints, FollowerTimings nodes) {
        mConfiguration = configuration;
        mEndpoints = endpoints;
        mNodes = nodes;
    }

    FollowerTimings configuration() {
        return mConfiguration;
    }

    FollowerTimings endpoints() {
        return mEndpoints;
    }

    FollowerTimings nodes() {
        return mNodes;
    }

    private static FollowerTimings timings(
            Duration longPollTimeout, Duration readInterval, Duration retryBackoff) {
        return new FollowerTimings(longPollTimeout, readInterval, retryBackoff);
    }
}
