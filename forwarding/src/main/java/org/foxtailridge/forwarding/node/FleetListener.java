package org.foxtailridge.forwarding.node;

import java.util.List;
import java.util.Map;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.digest.DigestListener;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.relay.StreamPosition;

/** Passes what digests of the fleet contain to placement, duties and streams. */
record FleetListener(NodePlacement placement, NodeDuties duties, NodeStreams streams)
        implements DigestListener {
    @Override
    public void onDemand(String source, Map<String, Double> underWay) {
        placement.updateDemand(source, underWay);
    }

    @Override
    public void onHolder(int partition, NodeName node, long fencing) {
        duties.onHolder(partition, node, fencing);
    }

    @Override
    public void onResidence(AdapterResidence residence) {
        placement.applyResidence(residence);
    }

    @Override
    public void onPositions(NodeName collector, List<StreamPosition> positions) {
        streams.onReaderPositions(collector, positions);
    }
}
