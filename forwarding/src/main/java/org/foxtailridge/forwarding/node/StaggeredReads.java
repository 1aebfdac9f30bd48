package org.foxtailridge.forwarding.node;

import java.time.Duration;
import java.util.Collection;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.stream.FollowerTimings;

/**
 * Spreads the ends of the reads that the log holds open for the nodes of a small fleet evenly over
 * time. A short silence of the log may lose the held reads of all nodes; the node whose read was to
 * end first then finds out soon, and informs the others of what they have missed.
 *
 * <pre>{@code
 * follower.use(StaggeredReads.of(timings, self, peers));
 * }</pre>
 */
final class StaggeredReads {
    // With the timeout of a read and the relay to other nodes well below the 2 s within which an
    // edit has to be in force.
    private static final Duration MAXIMUM_GAP = Duration.ofMillis(500);

    private StaggeredReads() {}

    /**
     * Returns timings with a slot for this node's reads to end in.
     *
     * @param timings timings of a node that reads the log itself; their long poll timeout is the
     *     maximum
     * @param self this node
     * @param peers the other live nodes
     */
    static FollowerTimings of(FollowerTimings timings, NodeName self, Collection<NodeName> peers) {
        int nodes = 1 + peers.size();
        int rank =
                (int)
                        peers.stream()
                                .filter(peer -> peer.value().compareTo(self.value()) < 0)
                                .count();
        Duration period = MAXIMUM_GAP.multipliedBy(nodes);
        if (period.compareTo(timings.longPollTimeout()) > 0) {
            period = timings.longPollTimeout();
        }
        return timings.staggered(period, period.multipliedBy(slot(rank, nodes)).dividedBy(nodes));
    }

    /** Gives nodes with adjacent names, which are often in one data centre, alternate slots. */
    private static int slot(int rank, int nodes) {
        int even = (nodes + 1) / 2;
        return rank < even ? 2 * rank : 2 * (rank - even) + 1;
    }
}
