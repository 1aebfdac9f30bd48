package org.foxtailridge.forwarding.node;

import java.util.HashMap;
import java.util.Map;
import org.foxtailridge.core.name.NodeName;

/** Attempts of other nodes in flight at endpoints, as they told lately. */
final class FleetLoad {
    private final long mLifeMilliseconds;
    private final Map<NodeName, Told> mTold = new HashMap<>();

    FleetLoad(long lifeMilliseconds) {
        mLifeMilliseconds = lifeMilliseconds;
    }

    void told(NodeName node, Map<String, Integer> inFlight, long now) {
        mTold.put(node, new Told(Map.copyOf(inFlight), now));
    }

    /** Returns the attempts of other nodes at an endpoint. */
    int at(String endpoint, long now) {
        mTold.values().removeIf(told -> now - told.atMilliseconds() > mLifeMilliseconds);
        return mTold.values().stream()
                .mapToInt(told -> told.inFlight().getOrDefault(endpoint, 0))
                .sum();
    }

    private record Told(Map<String, Integer> inFlight, long atMilliseconds) {}
}
