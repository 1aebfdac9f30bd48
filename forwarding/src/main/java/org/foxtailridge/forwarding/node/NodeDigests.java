package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.digest.DigestListener;
import org.foxtailridge.membership.digest.DigestOutbox;
import org.foxtailridge.membership.digest.DigestSettings;
import org.foxtailridge.membership.digest.FleetDigests;
import org.foxtailridge.membership.probe.Member;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.protocol.digest.DigestMessage;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.placement.AdapterResidence;
import org.foxtailridge.protocol.relay.StreamPosition;

/**
 * Connects the dissemination over collectors to network, membership and duties. Confined to the
 * event loop.
 */
final class NodeDigests implements DigestOutbox {
    // Up to this size a message to each peer costs less than the detour over collectors.
    private static final int MAXIMUM_DIRECT_FLEET = 12;
    // Keeps a message with names of up to 60 bytes within one datagram of 1,200 bytes.
    private static final int RESIDENCES_PER_MESSAGE = 12;

    private final NodeMembership mMembers;
    private final NodeDuties mDuties;
    private final DatagramNetwork mNetwork;
    private final FleetDigests mDigests;
    private final NodeName mSelf;
    private final Supplier<List<StreamPosition>> mPositions;

    NodeDigests(
            ForwardingSettings settings,
            Clock clock,
            NodeMembership members,
            NodeDuties duties,
            DatagramNetwork network,
            Supplier<List<StreamPosition>> positions,
            DigestListener listener) {
        mSelf = settings.name();
        mPositions = positions;
        mMembers = members;
        mDuties = duties;
        mNetwork = network;
        mDigests =
                new FleetDigests(
                        DigestSettings.defaults(),
                        settings.name(),
                        settings.dataCentre(),
                        clock,
                        this,
                        listener);
        members.addListener(this::updateNodes);
        network.receive(Subject.DIGEST, DigestMessage.parser(), mDigests::onMessage);
    }

    /** Returns whether a fleet is small enough that nodes tell each other directly. */
    static boolean isDirect(NodeMembership members) {
        return members.fleetSize() <= MAXIMUM_DIRECT_FLEET;
    }

    void tick() {
        mDigests.tick();
    }

    /** Reports this node's attempts in flight and demand to its collector. */
    void report(Map<String, Integer> inFlight, Map<String, Double> underWay) {
        mDigests.report(inFlight, underWay, mDuties.heldFencing());
    }

    /** Sends residences to all nodes over the collectors. */
    void sendResidences(List<AdapterResidence> residences) {
        for (int from = 0; from < residences.size(); from += RESIDENCES_PER_MESSAGE) {
            int to = Math.min(residences.size(), from + RESIDENCES_PER_MESSAGE);
            mDigests.sendResidences(residences.subList(from, to));
        }
    }

    /** Returns the attempts of other nodes at an endpoint, as far as collectors told. */
    int inFlightOfOthers(String endpoint) {
        return mDigests.inFlightOfOthers(endpoint);
    }

    /** Returns the age of the last digest in milliseconds; -1 when none arrived or is needed. */
    long ageMilliseconds() {
        return isDirect(mMembers) ? -1 : mDigests.ageMilliseconds();
    }

    int reporters() {
        return mDigests.reporters().size();
    }

    /** Returns whether any node, this one included, reports to this one. */
    boolean isCollector() {
        return !mDigests.reporters().isEmpty();
    }

    /** Returns the other nodes that report to this one; none in a small fleet. */
    Collection<NodeName> otherReporters() {
        if (isDirect(mMembers)) {
            return List.of();
        }
        return mDigests.reporters().stream().filter(node -> !node.equals(mSelf)).toList();
    }

    @Override
    public void send(NodeName receiver, DigestMessage message) {
        mNetwork.send(receiver, Subject.DIGEST, message);
    }

    @Override
    public Optional<NodeName> demandReader() {
        return mDuties.holder(DutyPartitions.ORDERS);
    }

    @Override
    public List<StreamPosition> positions() {
        return mPositions.get();
    }

    private void updateNodes(MembershipView view) {
        Map<NodeName, DataCentreName> nodes = new HashMap<>();
        for (Member member : view.members()) {
            if (member.isDutyCandidate() && !member.node().equals(mSelf)) {
                nodes.put(member.node(), member.dataCentre());
            }
        }
        mDigests.updateNodes(nodes);
    }
}
