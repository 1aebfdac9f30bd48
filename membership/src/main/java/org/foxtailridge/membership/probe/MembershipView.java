package org.foxtailridge.membership.probe;

import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/**
 * Snapshot of all known nodes, ordered by name. Immutable.
 *
 * @param members state of each node, this node included
 */
public record MembershipView(List<Member> members) {
    /** Copies the members. */
    public MembershipView {
        members = List.copyOf(members);
    }

    /** Returns the state of a node; empty when the node is not known. */
    public Optional<Member> member(NodeName node) {
        return members.stream().filter(member -> member.node().equals(node)).findFirst();
    }

    /** Returns the nodes of all data centres that may be given new duties. */
    public List<NodeName> dutyNodes() {
        return members.stream().filter(Member::isDutyCandidate).map(Member::node).toList();
    }

    /** Returns the nodes of a data centre that may be given new duties. */
    public List<NodeName> dutyNodes(DataCentreName dataCentre) {
        return members.stream()
                .filter(Member::isDutyCandidate)
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::node)
                .toList();
    }

    /** Returns the nodes that are not dead, leaving ones included. */
    public List<NodeName> liveNodes() {
        return members.stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .map(Member::node)
                .toList();
    }
}
