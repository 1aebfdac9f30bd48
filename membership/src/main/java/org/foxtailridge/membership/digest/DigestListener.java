package org.foxtailridge.membership.digest;

import java.util.List;
import java.util.Map;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.relay.StreamPosition;

/** Receives what reaches this node from the fleet. */
public interface DigestListener {
    /**
     * The demand of a part of the fleet arrived; it replaces the earlier demand of that source.
     *
     * @param source name of the part
     * @param underWay requests that wait or run, by qualified name of model or adapter
     */
    void onDemand(String source, Map<String, Double> underWay);

    /** A node holds a duty since the given fencing number, which is higher than any before. */
    void onHolder(int partition, NodeName node, long fencing);

    /** A model or an adapter was loaded or unloaded. */
    void onResidence(AdapterResidence residence);

    /** The collector of this node tells how far it has read the streams of the log. */
    void onPositions(NodeName collector, List<StreamPosition> positions);
}
