package org.foxtailridge.membership.probe;

import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;

/**
 * One VM of the platform's list, which lags.
 *
 * @param node name of the node on it
 * @param dataCentre name of its data centre
 * @param leaving whether the platform is taking it away
 */
public record ListedVm(NodeName node, DataCentreName dataCentre, boolean leaving) {
    /** Checks that no part is missing. */
    public ListedVm {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
