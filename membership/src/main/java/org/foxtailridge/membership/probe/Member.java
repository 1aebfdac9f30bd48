package org.foxtailridge.membership.probe;

import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/**
 * State of one node, as its newest update gives it. Updates about the same node are ordered by
 * incarnation, then refutation, then state; the highest one overrides the others.
 *
 * @param node name of the node
 * @param dataCentre name of its data centre
 * @param incarnation milliseconds since the epoch at which its process started; 0 while the node is
 *     known from the VM list only
 * @param refutation counter that a node raises to refute an update that marks it as suspected or
 *     dead
 * @param state state of the node
 */
public record Member(
        NodeName node,
        DataCentreName dataCentre,
        long incarnation,
        int refutation,
        MemberState state) {
    /** Rejects null components. */
    public Member {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns whether the node may be given new duties. A suspected node may, as it is not yet
     * known to have failed.
     */
    public boolean isDutyCandidate() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    Member withState(MemberState newState) {
        return new Member(node, dataCentre, incarnation, refutation, newState);
    }

    /** Returns whether this update overrides another one about the same node. */
    boolean overrides(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return rank(state) > rank(other.state);
    }

    private static int rank(MemberState state) {
        return switch (state) {
            case ALIVE -> 1;
            case SUSPECT -> 2;
            case LEAVING -> 3;
            case DEAD -> 4;
            default -> 0;
        };
    }
}
