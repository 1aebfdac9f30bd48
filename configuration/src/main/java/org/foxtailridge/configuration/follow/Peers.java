package org.foxtailridge.configuration.follow;

import java.util.List;
import org.foxtailridge.core.name.NodeName;

/**
 * Other nodes, as membership knows them.
 *
 * @param near live nodes of the same data centre, without the node itself
 * @param far live nodes of other data centres
 * @param readsLog whether this node is one of those that read the log for its data centre
 */
public record Peers(List<NodeName> near, List<NodeName> far, boolean readsLog) {
    /** Copies the lists. */
    public Peers {
        near = List.copyOf(near);
        far = List.copyOf(far);
    }

    /** Returns the peers of a node that knows no other. */
    public static Peers none() {
        return new Peers(List.of(), List.of(), true);
    }

    int count() {
        return near.size() + far.size();
    }
}
