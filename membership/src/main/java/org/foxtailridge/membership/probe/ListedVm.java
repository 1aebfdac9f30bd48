package org.foxtailridge.membership.probe;

import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;

/**
 * One VM of the platform's VM list, which may be out of date.
 *
 * @param node name of the node on the VM
 * @param dataCentre name of its data centre
 * @param leaving whether the platform is about to remove the VM
 */
public record ListedVm(NodeName node, DataCentreName dataCentre, boolean leaving) {
    /** Rejects null components. */
    public ListedVm {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
