package org.foxtailridge.node.peer;

import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;

/**
 * What a node says of itself to other nodes.
 *
 * @param name name of the node
 * @param dataCentre name of its data centre
 * @param incarnation number that grows with each start
 */
public record PeerIdentity(NodeName name, DataCentreName dataCentre, long incarnation) {
    /** Checks the parts. */
    public PeerIdentity {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /** Returns a seed that differs between nodes and between their starts. */
    public long seed() {
        return Objects.hash(name, incarnation);
    }
}
