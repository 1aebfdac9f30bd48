package org.foxtailridge.bench.limits;

import java.time.Clock;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.limits.LimiterOutbox;
import org.foxtailridge.limits.LimiterSettings;
import org.foxtailridge.limits.TokenLimiter;
import org.foxtailridge.limits.baseline.EqualSplitLimiter;
import org.foxtailridge.limits.baseline.SharedBuckets;
import org.foxtailridge.limits.baseline.SingleBucketLimiter;
import org.foxtailridge.limits.grant.GrantLimiter;

/** A way to limit; one instance for each run. */
interface LimiterPolicy {
    /** Most reservations that are not settled, large enough to play no part. */
    int MAXIMUM_OPEN_RESERVATIONS = 1_000_000;

    /** Part of a limit that is split into floors, in percent. */
    int DEFAULT_FLOOR_PERCENT = 10;

    /** Returns the limiter of a new process. */
    TokenLimiter limiter(NodeName node, long incarnation, Clock clock, LimiterOutbox outbox);

    /** Returns the exact bucket in shared memory, which real nodes do not have. */
    static LimiterPolicy singleBucket() {
        SharedBuckets buckets = new SharedBuckets();
        return (node, incarnation, clock, outbox) ->
                new SingleBucketLimiter(clock, buckets, MAXIMUM_OPEN_RESERVATIONS);
    }

    /** Returns the equal static split over a number of nodes. */
    static LimiterPolicy equalSplit(int nodes) {
        return (node, incarnation, clock, outbox) ->
                new EqualSplitLimiter(clock, nodes, MAXIMUM_OPEN_RESERVATIONS);
    }

    /** Returns grants of a home node with floors of the default size over a number of nodes. */
    static LimiterPolicy grants(int nodes) {
        return grants(nodes, DEFAULT_FLOOR_PERCENT);
    }

    /** Returns grants of a home node with floors over a number of nodes. */
    static LimiterPolicy grants(int nodes, int floorPercent) {
        return (node, incarnation, clock, outbox) ->
                GrantLimiter.create(
                        LimiterSettings.builder(node, incarnation)
                                .maximumNodes(nodes)
                                .floorPercent(floorPercent)
                                .maximumOpenReservations(MAXIMUM_OPEN_RESERVATIONS)
                                .build(),
                        clock,
                        outbox);
    }
}
