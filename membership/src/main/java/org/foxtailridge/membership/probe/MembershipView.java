package org.foxtailridge.membership.probe;

import java.util.List;
import java.util.Optional;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/**
 * All nodes that are known, in order of their names. Immutable.
 *
 * @param members what is known about each, this node among them
 */
public record MembershipView(List<Member> members) {
    /** Copies the list. */
    public MembershipView {
        members = List.copyOf(members);
    }

    /** Returns what is known about a node; empty when it is not known. */
    public Optional<Member> member(NodeName node) {
        return members.stream().filter(member -> member.node().equals(node)).findFirst();
    }

    /** Returns the names of nodes that take duties, of all data centres. */
    public List<NodeName> dutyNodes() {
        return members.stream().filter(Member::isDutyCandidate).map(Member::node).toList();
    }

    /** Returns the names of nodes of a data centre that take duties. */
    public List<NodeName> dutyNodes(DataCentreName dataCentre) {
        return members.stream()
                .filter(Member::isDutyCandidate)
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::node)
                .toList();
    }

    /** Returns the names of nodes that are not dead, leaving ones among them. */
    public List<NodeName> liveNodes() {
        return members.stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .map(Member::node)
                .toList();
    }
}
