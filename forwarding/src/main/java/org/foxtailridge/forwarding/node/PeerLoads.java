package org.foxtailridge.forwarding.node;

import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.core.name.NodeName;

/**
 * Attempts that other nodes have in flight at endpoints, by the latest load report of each node. A
 * report that is older than the maximum age no longer counts. Confined to the event loop.
 */
final class PeerLoads {
    private final long mMaximumAgeMilliseconds;
    private final Map<NodeName, Report> mReports = new HashMap<>();

    PeerLoads(long maximumAgeMilliseconds) {
        mMaximumAgeMilliseconds = maximumAgeMilliseconds;
    }

    /** Records the load report of a node, which replaces its earlier one. */
    void put(NodeName node, Map<String, Integer> inFlight, long now) {
        mReports.put(node, new Report(Map.copyOf(inFlight), now));
    }

    /** Returns the number of attempts that all other nodes have in flight at an endpoint. */
    int inFlightAt(String endpoint, long now) {
        mReports.values()
                .removeIf(report -> now - report.atMilliseconds() > mMaximumAgeMilliseconds);
        return mReports.values().stream()
                .mapToInt(report -> report.inFlight().getOrDefault(endpoint, 0))
                .sum();
    }

    private record Report(Map<String, Integer> inFlight, long atMilliseconds) {}
}
