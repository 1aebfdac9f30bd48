package org.foxtailridge.forwarding.node;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.foxtailridge.core.log.LogEvent;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.membership.duty.Rendezvous;
import org.foxtailridge.membership.group.DutyGroup;
import org.foxtailridge.membership.group.GroupDuties;
import org.foxtailridge.membership.group.GroupOutbox;
import org.foxtailridge.membership.group.GroupSettings;
import org.foxtailridge.membership.group.HeldDuty;
import org.foxtailridge.protocol.duties.DutiesMessage;
import org.foxtailridge.protocol.duties.HeldDutyStatement;
import org.foxtailridge.protocol.envelope.Subject;

/**
 * Duties that this node holds, and the known holders of the others.
 *
 * <p>Each holder broadcasts its duties to all nodes, so that no node has to read the log to find
 * the holder. Of two statements the one with the higher fencing number counts. Confined to the
 * event loop.
 */
final class NodeDuties implements GroupOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeDuties.class);
    private static final GroupSettings SETTINGS =
            // lifetime, joinInterval, margin, acquisitionDelay, answerTimeout
            new GroupSettings(
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(600),
                    Duration.ofMillis(150),
                    Duration.ofMillis(500),
                    Duration.ofMillis(1_000));
    private static final OptionalLong UNKNOWN_FENCING = OptionalLong.of(0);
    private static final long BROADCAST_INTERVAL_MILLISECONDS = 700;
    // Enough candidates for the partitions when a data centre is lost; more would only add joins.
    private static final int MAXIMUM_CANDIDATES = 16;
    private static final String CANDIDACY = "duty-group";
    // From this time on a node joins also if it could not read the records of the other nodes.
    private static final long DISCOVERY_TIMEOUT_MILLISECONDS = 2_000;
    // Only within this time after the fleet's first start may a duty count as never held before.
    private static final long FIRST_START_WINDOW_MILLISECONDS = 8_000;

    private final ForwardingSettings mSettings;
    private final Clock mClock;
    private final DutyGroup mGroup;
    private final NodeMembership mMembers;
    private final GroupDuties mDuties;
    private final List<DutyListener> mListeners = new ArrayList<>();
    private final Map<Integer, Holder> mHolders = new HashMap<>();
    private final Map<Integer, OptionalLong> mFormerFencing = new HashMap<>();
    private final long mStartedMilliseconds;
    private long mLastBroadcastMilliseconds;

    NodeDuties(
            ForwardingSettings settings,
            Clock clock,
            DutyGroup group,
            NodeMembership members,
            DatagramNetwork network) {
        mSettings = settings;
        mClock = clock;
        mGroup = group;
        mMembers = members;
        mStartedMilliseconds = clock.millis();
        mDuties = new GroupDuties(SETTINGS, clock, this);
        members.addListener(view -> updateCandidacy(view.dutyNodes()));
        network.receive(Subject.DUTIES, DutiesMessage.parser(), this::receive);
    }

    void addListener(DutyListener listener) {
        mListeners.add(listener);
    }

    void tick() {
        long now = mClock.millis();
        // At the first start of a fleet the records of the other nodes are still being written.
        boolean discovered = mMembers.hasReadNodeRecords() && !mSettings.firstStart();
        if (discovered || now - mStartedMilliseconds >= DISCOVERY_TIMEOUT_MILLISECONDS) {
            mDuties.tick();
        }
        boolean due = now - mLastBroadcastMilliseconds >= BROADCAST_INTERVAL_MILLISECONDS;
        // In a large fleet digests repeat what is broadcast once.
        if (due && (mLastBroadcastMilliseconds == 0 || NodeDigests.isDirect(mMembers))) {
            broadcastHeldDuties();
        }
    }

    /** Releases all duties and leaves the group, for a planned stop. */
    void releaseAll() {
        mDuties.leave();
    }

    /** Returns the last known holder of a duty, which may have lost it since. */
    Optional<NodeName> holder(int partition) {
        if (mDuties.held(partition).isPresent()) {
            return Optional.of(mSettings.name());
        }
        return Optional.ofNullable(mHolders.get(partition)).map(Holder::node);
    }

    /** Returns whether this node holds a duty now. */
    boolean holds(int partition) {
        return mDuties.held(partition).isPresent();
    }

    /** Returns the fencing number of each duty that this node holds, by partition. */
    Map<Integer, Long> heldFencing() {
        Map<Integer, Long> held = new HashMap<>();
        mDuties.heldDuties().forEach(duty -> held.put(duty.partition(), duty.fencing()));
        return held;
    }

    /** Records the holder of a duty unless a later one is known. */
    void onHolder(int partition, NodeName node, long fencing) {
        Holder known = mHolders.get(partition);
        if (node.equals(mSettings.name()) || (known != null && known.fencing() >= fencing)) {
            return;
        }
        mHolders.put(partition, new Holder(node, fencing));
        mListeners.forEach(listener -> listener.heldByPeer(partition, node, fencing));
    }

    int heldCount() {
        return mDuties.heldDuties().size();
    }

    @Override
    public void join(long join, long generation) {
        mGroup.join(mSettings.name().value(), SETTINGS.lifetime(), generation)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null) {
                                mDuties.onJoined(join, answer);
                            } else {
                                mDuties.onJoinFailed(join);
                            }
                        });
    }

    @Override
    public void leaveGroup() {
        mGroup.leave(mSettings.name().value())
                .exceptionally(
                        failure -> {
                            LOGGER.warn(
                                    "leaving the group failed; its duties pass on when this "
                                            + "member expires: {}",
                                    failure.getMessage());
                            return null;
                        });
    }

    @Override
    public void acquired(HeldDuty duty) {
        OptionalLong former = formerFencing(duty);
        mFormerFencing.put(duty.partition(), former);
        mHolders.put(duty.partition(), new Holder(mSettings.name(), duty.fencing()));
        log("duty_taken", duty);
        mListeners.forEach(listener -> listener.held(duty, former));
        mLastBroadcastMilliseconds = 0;
    }

    @Override
    public void renewed(HeldDuty duty) {
        OptionalLong former = mFormerFencing.get(duty.partition());
        mListeners.forEach(listener -> listener.held(duty, former));
    }

    @Override
    public void released(HeldDuty duty) {
        log("duty_given_up", duty);
        mListeners.forEach(listener -> listener.released(duty));
    }

    @Override
    public void expired(HeldDuty duty) {
        log("duty_lapsed", duty);
        mListeners.forEach(listener -> listener.expired(duty));
    }

    /**
     * Returns the fencing number that the previous holder broadcast, 0 when it is unknown. Empty,
     * for a duty that was never held, only right after the first start of the fleet.
     */
    private OptionalLong formerFencing(HeldDuty duty) {
        Holder known = mHolders.get(duty.partition());
        if (known != null && known.fencing() < duty.fencing()) {
            return OptionalLong.of(known.fencing());
        }
        boolean firstStart =
                mSettings.firstStart()
                        && known == null
                        && mClock.millis() - mStartedMilliseconds < FIRST_START_WINDOW_MILLISECONDS;
        return firstStart ? OptionalLong.empty() : OptionalLong.of(0);
    }

    private void broadcastHeldDuties() {
        mLastBroadcastMilliseconds = mClock.millis();
        DutiesMessage.Builder message = DutiesMessage.newBuilder();
        for (HeldDuty duty : mDuties.heldDuties()) {
            message.addHeld(
                    HeldDutyStatement.newBuilder()
                            .setPartition(duty.partition())
                            .setFencing(duty.fencing()));
        }
        if (message.getHeldCount() > 0) {
            mMembers.sendToPeers(Subject.DUTIES, message.build());
        }
    }

    private void receive(NodeName sender, DutiesMessage message) {
        message.getHeldList()
                .forEach(held -> onHolder(held.getPartition(), sender, held.getFencing()));
    }

    /** Keeps the number of members of the group bounded, as each change makes all of them join. */
    private void updateCandidacy(List<NodeName> nodes) {
        boolean candidate =
                nodes.size() <= MAXIMUM_CANDIDATES
                        || Rendezvous.isAmongFirst(
                                mSettings.name(), MAXIMUM_CANDIDATES, CANDIDACY, nodes);
        mDuties.setCandidate(candidate);
    }

    private void log(String event, HeldDuty duty) {
        LogEvent.named(event)
                .number("partition", duty.partition())
                .number("fencing", duty.fencing())
                .number(
                        "former",
                        mFormerFencing.getOrDefault(duty.partition(), UNKNOWN_FENCING).orElse(0))
                .writeTo(LOGGER);
    }

    private record Holder(NodeName node, long fencing) {}
}
