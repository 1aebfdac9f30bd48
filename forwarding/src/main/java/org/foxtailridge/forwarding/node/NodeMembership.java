package org.foxtailridge.forwarding.node;

import com.google.protobuf.MessageLite;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.membership.probe.ListedVm;
import org.foxtailridge.membership.probe.Member;
import org.foxtailridge.membership.probe.Membership;
import org.foxtailridge.membership.probe.MembershipOutbox;
import org.foxtailridge.membership.probe.MembershipSettings;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.membership.MembershipMessage;

/** Which other nodes are live, from what they write into the log and from probes. */
final class NodeMembership implements MembershipOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeMembership.class);

    private final ForwardingSettings mSettings;
    private final DatagramNetwork mNetwork;
    private final Membership mMembership;
    private final Map<NodeName, DataCentreName> mListed = new HashMap<>();
    private List<NodeName> mPeers = List.of();
    private boolean mReadNodes;

    NodeMembership(
            ForwardingSettings settings, Clock clock, long incarnation, DatagramNetwork network) {
        mSettings = settings;
        mNetwork = network;
        mMembership =
                Membership.builder(settings.name(), settings.dataCentre())
                        .settings(
                                MembershipSettings.builder()
                                        .probePeriod(Duration.ofMillis(500))
                                        .acknowledgementTimeout(Duration.ofMillis(150))
                                        .baseSuspicionTimeout(Duration.ofSeconds(2))
                                        .build())
                        .incarnation(incarnation)
                        .clock(clock)
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(incarnation))
                        .outbox(this)
                        .build();
        network.receive(Subject.MEMBERSHIP, MembershipMessage.parser(), mMembership::onMessage);
        seeds(settings.seeds());
    }

    /** Takes some nodes that may be live, beside those that are known already. */
    void seeds(List<NodeName> seeds) {
        // Where the seeds are is not known; a probe of them brings their own statements.
        seeds.stream()
                .filter(seed -> !seed.equals(mSettings.name()))
                .forEach(seed -> mListed.putIfAbsent(seed, mSettings.dataCentre()));
        tellListed();
    }

    /** Returns whether what nodes have written of themselves was read. */
    boolean hasReadNodes() {
        return mReadNodes;
    }

    /** Takes what nodes have written of themselves. */
    void listed(List<KeyedRecord> records) {
        mReadNodes = true;
        for (KeyedRecord entry : records) {
            if (!Names.isName(entry.key())) {
                continue;
            }
            NodeName node = NodeName.of(entry.key());
            if (entry.value().isEmpty()) {
                mListed.remove(node);
                continue;
            }
            String dataCentre = new String(entry.value().get(), StandardCharsets.UTF_8);
            if (Names.isName(dataCentre)) {
                mListed.put(node, DataCentreName.of(dataCentre));
            }
        }
        tellListed();
    }

    /** Returns the nodes that may run, this one included. */
    Set<NodeName> listedNodes() {
        Set<NodeName> nodes = new HashSet<>(mListed.keySet());
        nodes.addAll(mPeers);
        nodes.add(mSettings.name());
        return nodes;
    }

    /** Returns the record by which other nodes find this one. */
    KeyedRecord ownRecord() {
        byte[] dataCentre = mSettings.dataCentre().value().getBytes(StandardCharsets.UTF_8);
        return KeyedRecord.of(mSettings.name().value(), dataCentre);
    }

    void tick() {
        mMembership.tick();
    }

    void leave() {
        mMembership.leave();
    }

    /** Returns the other nodes that are not known to be dead. */
    List<NodeName> peers() {
        return mPeers;
    }

    /** Sends a message to each peer. */
    void sendToPeers(Subject subject, MessageLite message) {
        mPeers.forEach(peer -> mNetwork.send(peer, subject, message));
    }

    /** Returns the nodes that may be running, this one included. */
    int fleetSize() {
        return 1 + mPeers.size();
    }

    @Override
    public void send(NodeName node, MembershipMessage message) {
        mNetwork.send(node, Subject.MEMBERSHIP, message);
    }

    @Override
    public void changed(MembershipView view) {
        List<NodeName> peers = new ArrayList<>(view.liveNodes());
        peers.remove(mSettings.name());
        mPeers = List.copyOf(peers);
        for (Member member : view.members()) {
            LOGGER.debug("member {} is {}", member.node(), member.state());
        }
        LogEvent.named("members_changed")
                .number("live_peers", mPeers.size())
                .text("peers", mPeers)
                .writeTo(LOGGER);
    }

    private void tellListed() {
        List<ListedVm> listed = new ArrayList<>();
        mListed.forEach((node, centre) -> listed.add(new ListedVm(node, centre, false)));
        mMembership.onVmList(listed);
    }
}
