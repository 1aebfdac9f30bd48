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
import org.foxtailridge.membership.group.DutyGroup;
import org.foxtailridge.membership.group.GroupDuties;
import org.foxtailridge.membership.group.GroupOutbox;
import org.foxtailridge.membership.group.GroupSettings;
import org.foxtailridge.membership.group.HeldDuty;
import org.foxtailridge.protocol.duties.DutiesMessage;
import org.foxtailridge.protocol.duties.HeldDutyStatement;
import org.foxtailridge.protocol.envelope.Subject;

/**
 * The duties of this node, and who else holds which.
 *
 * <p>Holders tell all nodes, so that nobody has to ask the log.
 */
final class NodeDuties implements GroupOutbox {
    private static final Logger LOGGER = LogManager.getLogger(NodeDuties.class);
    private static final GroupSettings SETTINGS =
            new GroupSettings(
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(600),
                    Duration.ofMillis(150),
                    Duration.ofMillis(500),
                    Duration.ofMillis(1_000));
    private static final OptionalLong UNKNOWN = OptionalLong.of(0);
    private static final long STATEMENT_MILLISECONDS = 700;
    // A duty without a former holder is believed in only right after the fleet's first start.
    private static final long FIRST_START_MILLISECONDS = 8_000;

    private final ForwardingSettings mSettings;
    private final Clock mClock;
    private final DutyGroup mGroup;
    private final NodeMembership mMembers;
    private final GroupDuties mDuties;
    private final List<DutyListener> mListeners = new ArrayList<>();
    private final Map<Integer, Holder> mHolders = new HashMap<>();
    private final Map<Integer, OptionalLong> mFormer = new HashMap<>();
    private final long mStartedMilliseconds;
    private long mStatedMilliseconds;

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
        network.receive(Subject.DUTIES, DutiesMessage.parser(), this::receive);
    }

    void listen(DutyListener listener) {
        mListeners.add(listener);
    }

    void tick() {
        mDuties.tick();
        long now = mClock.millis();
        if (now - mStatedMilliseconds >= STATEMENT_MILLISECONDS) {
            state();
        }
    }

    /** Gives all duties up, for a planned stop. */
    void giveUpAll() {
        mDuties.leave();
    }

    /** Returns the node that holds a duty, as far as is known. */
    Optional<NodeName> holder(int partition) {
        if (mDuties.held(partition).isPresent()) {
            return Optional.of(mSettings.name());
        }
        return Optional.ofNullable(mHolders.get(partition)).map(Holder::node);
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
                            LOGGER.warn("the group was not told: {}", failure.getMessage());
                            return null;
                        });
    }

    @Override
    public void acquired(HeldDuty duty) {
        OptionalLong former = formerOf(duty);
        mFormer.put(duty.partition(), former);
        mHolders.put(duty.partition(), new Holder(mSettings.name(), duty.fencing()));
        log("duty_taken", duty);
        mListeners.forEach(listener -> listener.held(duty, former));
        mStatedMilliseconds = 0;
    }

    @Override
    public void renewed(HeldDuty duty) {
        OptionalLong former = mFormer.get(duty.partition());
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
        mListeners.forEach(listener -> listener.lapsed(duty));
    }

    /**
     * Returns the number of the holder before, as that holder told. That there was none is believed
     * only right after the first start of the fleet.
     */
    private OptionalLong formerOf(HeldDuty duty) {
        Holder known = mHolders.get(duty.partition());
        if (known != null && known.fencing() < duty.fencing()) {
            return OptionalLong.of(known.fencing());
        }
        boolean firstStart =
                mSettings.firstStart()
                        && known == null
                        && mClock.millis() - mStartedMilliseconds < FIRST_START_MILLISECONDS;
        return firstStart ? OptionalLong.empty() : OptionalLong.of(0);
    }

    private void state() {
        mStatedMilliseconds = mClock.millis();
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
        message.getHeldList().forEach(held -> onStatement(sender, held));
    }

    private void onStatement(NodeName sender, HeldDutyStatement held) {
        Holder known = mHolders.get(held.getPartition());
        if (known != null && known.fencing() >= held.getFencing()) {
            return;
        }
        mHolders.put(held.getPartition(), new Holder(sender, held.getFencing()));
        mListeners.forEach(
                listener -> listener.elsewhere(held.getPartition(), sender, held.getFencing()));
    }

    private void log(String event, HeldDuty duty) {
        LogEvent.named(event)
                .number("partition", duty.partition())
                .number("fencing", duty.fencing())
                .number("former", mFormer.getOrDefault(duty.partition(), UNKNOWN).orElse(0))
                .writeTo(LOGGER);
    }

    private record Holder(NodeName node, long fencing) {}
}
