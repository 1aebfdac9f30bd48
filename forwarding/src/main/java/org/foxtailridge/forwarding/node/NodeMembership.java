package org.foxtailridge.forwarding.node;

import com.google.protobuf.MessageLite;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.forwarding.stream.KeyedRecord;
import org.foxtailridge.membership.probe.ListedVm;
import org.foxtailridge.membership.probe.Membership;
import org.foxtailridge.membership.probe.MembershipOutbox;
import org.foxtailridge.membership.probe.MembershipSettings;
import org.foxtailridge.membership.probe.MembershipView;
import org.foxtailridge.protocol.envelope.Subject;
import org.foxtailridge.protocol.membership.MembershipMessage;

/**
 * Connects the membership protocol to the network: other nodes are discovered from their records in
 * the log and from seeds, and their liveness comes from probes. Confined to the event loop.
 */
final class NodeMembership implements MembershipOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeMembership.class);
    private static final int MAXIMUM_LOGGED_NODES = 8;

    private final ForwardingSettings mSettings;
    private final DatagramNetwork mNetwork;
    private final Membership mMembership;
    private final Map<NodeName, DataCentreName> mKnownNodes = new HashMap<>();
    private final List<Consumer<MembershipView>> mListeners = new ArrayList<>();
    private List<NodeName> mPeers = List.of();
    private boolean mNodeRecordsRead;

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
        addSeeds(settings.seeds());
    }

    /** Adds nodes that may be live to those that are already known. */
    void addSeeds(List<NodeName> seeds) {
        // The data centre of a seed is unknown; that of this node is assumed until a probe of the
        // seed returns its own record.
        seeds.stream()
                .filter(seed -> !seed.equals(mSettings.name()))
                .forEach(seed -> mKnownNodes.putIfAbsent(seed, mSettings.dataCentre()));
        passKnownNodes();
    }

    /** Adds a listener for changes of the known nodes. */
    void addListener(Consumer<MembershipView> listener) {
        mListeners.add(listener);
    }

    /** Returns whether the records that nodes write of themselves have been read once. */
    boolean hasReadNodeRecords() {
        return mNodeRecordsRead;
    }

    /** Applies the records that nodes write of themselves; a tombstone removes a node. */
    void applyNodeRecords(List<KeyedRecord> records) {
        mNodeRecordsRead = true;
        for (KeyedRecord entry : records) {
            if (!Names.isName(entry.key())) {
                continue;
            }
            NodeName node = NodeName.of(entry.key());
            if (entry.value().isEmpty()) {
                mKnownNodes.remove(node);
                continue;
            }
            String dataCentre = new String(entry.value().get(), StandardCharsets.UTF_8);
            if (Names.isName(dataCentre)) {
                mKnownNodes.put(node, DataCentreName.of(dataCentre));
            }
        }
        passKnownNodes();
    }

    /** Returns the nodes known from records, seeds and probes, this one included. */
    Set<NodeName> knownNodes() {
        Set<NodeName> nodes = new HashSet<>(mKnownNodes.keySet());
        nodes.addAll(mPeers);
        nodes.add(mSettings.name());
        return nodes;
    }

    /** Returns the record by which other nodes discover this one: its data centre by its name. */
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

    NodeName self() {
        return mSettings.name();
    }

    /** Returns the other nodes that are live or suspected, but not known to be dead. */
    List<NodeName> peers() {
        return mPeers;
    }

    /** Sends a message to each peer. */
    void sendToPeers(Subject subject, MessageLite message) {
        mPeers.forEach(peer -> mNetwork.send(peer, subject, message));
    }

    /** Returns the number of nodes that are not known to be dead, this one included. */
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
        Set<NodeName> added = new LinkedHashSet<>(peers);
        mPeers.forEach(added::remove);
        Set<NodeName> removed = new LinkedHashSet<>(mPeers);
        peers.forEach(removed::remove);
        mPeers = List.copyOf(peers);
        if (!added.isEmpty() || !removed.isEmpty()) {
            LogEvent.named("members_changed")
                    .number("live_peers", mPeers.size())
                    .text("added", firstOf(added))
                    .number("added_count", added.size())
                    .text("removed", firstOf(removed))
                    .number("removed_count", removed.size())
                    .writeTo(LOGGER);
        }
        mListeners.forEach(listener -> listener.accept(view));
    }

    private static List<NodeName> firstOf(Set<NodeName> nodes) {
        return nodes.stream().limit(MAXIMUM_LOGGED_NODES).toList();
    }

    private void passKnownNodes() {
        // The records do not state whether a VM is leaving.
        List<ListedVm> listed = new ArrayList<>();
        mKnownNodes.forEach((node, centre) -> listed.add(new ListedVm(node, centre, false)));
        mMembership.onVmList(listed);
    }
}
