package org.foxtailridge.membership.probe;

import java.util.Objects;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/**
 * What is known about one node.
 *
 * @param node its name
 * @param dataCentre name of its data centre
 * @param incarnation milliseconds since the epoch at which its process started; 0 while it is known
 *     from the VM list alone
 * @param refutation how often it has refuted a suspicion
 * @param state its state
 */
public record Member(
        NodeName node,
        DataCentreName dataCentre,
        long incarnation,
        int refutation,
        MemberState state) {
    /** Checks that no part is missing. */
    public Member {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether the node answers and takes new duties. */
    public boolean isDutyCandidate() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    Member withState(MemberState newState) {
        return new Member(node, dataCentre, incarnation, refutation, newState);
    }

    /** Returns whether this statement is newer than another one about the same node. */
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
