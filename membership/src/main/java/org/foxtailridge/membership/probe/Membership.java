package org.foxtailridge.membership.probe;

import com.google.common.collect.Iterables;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.IndirectProbe;
import org.foxtailridge.protocol.membership.MemberState;
import org.foxtailridge.protocol.membership.MemberUpdate;
import org.foxtailridge.protocol.membership.MembershipMessage;
import org.foxtailridge.protocol.membership.Probe;
import org.foxtailridge.protocol.membership.ProbeAcknowledgement;

/**
 * Failure detector and gossip protocol that tracks which nodes are live, in the manner of SWIM.
 *
 * <p>Once in a probe period the node probes one other node of its data centre. If the target does
 * not acknowledge in time, a few other nodes probe it indirectly. If no acknowledgement arrives by
 * the next period, the node suspects the target, and marks it as dead unless the target refutes the
 * suspicion before the suspicion timeout. Updates about nodes are piggybacked on these messages, up
 * to a maximum for each message. Some probes go to other data centres, which carries updates there;
 * only nodes of the same data centre suspect each other. Not thread-safe.
 *
 * <pre>{@code
 * Membership membership =
 *         Membership.builder(NodeName.of("node-1"), DataCentreName.of("north"))
 *                 .incarnation(clock.millis())
 *                 .clock(clock)
 *                 .random(random)
 *                 .outbox(outbox)
 *                 .build();
 * membership.onVmList(listed); // whenever the platform answers
 * membership.tick(); // ten times a second
 * membership.onMessage(from, message); // messages of subject MEMBERSHIP
 * membership.view().dutyNodes();
 * membership.leave(); // at the start of a planned stop
 * }</pre>
 */
public final class Membership {
    private final MembershipSettings mSettings;
    private final NodeName mSelf;
    private final DataCentreName mDataCentre;
    private final Clock mClock;
    private final UniformRandomProvider mRandom;
    private final MembershipOutbox mOutbox;
    private final MemberTable mTable;
    private final ProbeRounds mRounds;
    private final Map<NodeName, ListedVm> mListed = new HashMap<>();
    private final Set<NodeName> mListedLeaving = new HashSet<>();
    private final IndirectProbes mIndirectProbes;
    private long mSequence;
    private long mProbeCount;
    private Instant mNextProbeAt = Instant.MIN;
    private Optional<NodeName> mTarget = Optional.empty();
    private Instant mTargetProbedAt = Instant.MIN;
    private boolean mIndirectProbesSent;

    private Membership(MembershipBuilder builder) {
        mSettings = builder.settings();
        mSelf = builder.self();
        mDataCentre = builder.dataCentre();
        mClock = builder.clock();
        mRandom = builder.random();
        mOutbox = builder.outbox();
        mTable = new MemberTable(mSettings);
        mRounds = new ProbeRounds(mRandom);
        mIndirectProbes = new IndirectProbes(mSettings.maximumMembers());
        long incarnation = builder.incarnation();
        mTable.put(
                new Member(mSelf, mDataCentre, incarnation, 0, MemberState.ALIVE),
                mClock.instant());
    }

    /**
     * Returns a builder with default settings.
     *
     * @param self name of this node
     * @param dataCentre name of its data centre
     */
    public static MembershipBuilder builder(NodeName self, DataCentreName dataCentre) {
        return new MembershipBuilder(self, dataCentre);
    }

    static Membership create(MembershipBuilder builder) {
        return new Membership(builder);
    }

    /** Returns the state of all nodes; a node whose VM is listed as leaving is shown as leaving. */
    public MembershipView view() {
        return new MembershipView(mTable.all().stream().map(this::withListedState).toList());
    }

    /**
     * Applies the platform's VM list, which may be out of date. Listed nodes that are not known are
     * added as alive. Nodes that are no longer listed are marked as dead if they were known from
     * the list only, or are in another data centre, where this node does not suspect them itself.
     */
    public void onVmList(List<ListedVm> listed) {
        Instant now = mClock.instant();
        boolean changed = false;
        Map<NodeName, ListedVm> previous = new HashMap<>(mListed);
        mListed.clear();
        mListedLeaving.clear();
        for (ListedVm vm : listed) {
            changed |= !vm.equals(previous.get(vm.node()));
            mListed.put(vm.node(), vm);
            if (vm.leaving()) {
                mListedLeaving.add(vm.node());
            }
            mTable.merge(new Member(vm.node(), vm.dataCentre(), 0, 0, MemberState.ALIVE), now);
        }
        for (Member member : List.copyOf(mTable.all())) {
            boolean unlisted = member.incarnation() == 0 && !mListed.containsKey(member.node());
            boolean removedRemote =
                    !member.dataCentre().equals(mDataCentre)
                            && previous.containsKey(member.node())
                            && !mListed.containsKey(member.node());
            if ((unlisted || removedRemote) && member.state() != MemberState.DEAD) {
                mTable.put(member.withState(MemberState.DEAD), now);
            }
        }
        reportChange(changed);
    }

    /** Announces that this node is leaving, so that it is given no new duties before it stops. */
    public void leave() {
        Member self = self();
        if (self.state() != MemberState.LEAVING) {
            mTable.put(self.withState(MemberState.LEAVING), mClock.instant());
            reportChange(false);
        }
    }

    /** Sends the probes that are due, and expires suspicions, dead members and pending probes. */
    public void tick() {
        Instant now = mClock.instant();
        sendIndirectProbesIfDue(now);
        if (!now.isBefore(mNextProbeAt)) {
            suspectUnacknowledged(now);
            startProbe(now);
        }
        if (mTable.hasSuspects()) {
            for (Member member : mTable.expiredSuspects(now, localPeers().size() + 1)) {
                mTable.put(member.withState(MemberState.DEAD), now);
            }
        }
        mTable.removeExpiredDead(mListed.keySet(), now);
        mIndirectProbes.removeBefore(now.minus(mSettings.probePeriod()));
        reportChange(false);
    }

    /**
     * Handles a message of another node.
     *
     * @param from node that sent the message
     * @param message message; the updates of one with an unknown body are still applied
     */
    public void onMessage(NodeName from, MembershipMessage message) {
        Instant now = mClock.instant();
        merge(message.getSender(), now);
        message.getUpdatesList().forEach(update -> merge(update, now));
        switch (message.getBodyCase()) {
            case PROBE -> acknowledge(from, message.getProbe().getSequence());
            case ACKNOWLEDGEMENT ->
                    onAcknowledgement(from, message.getAcknowledgement().getSequence());
            case INDIRECT_PROBE -> probeOnBehalfOf(from, message.getIndirectProbe(), now);
            default -> {}
        }
    }

    private void startProbe(Instant now) {
        mProbeCount++;
        mNextProbeAt = now.plus(mSettings.probePeriod());
        mTarget = Optional.empty();
        mIndirectProbesSent = false;
        Optional<NodeName> dead =
                isNthProbe(mSettings.probesPerDeadProbe()) ? randomDeadMember() : Optional.empty();
        Optional<NodeName> remote =
                isNthProbe(mSettings.probesPerRemoteProbe())
                        ? randomRemotePeer()
                        : Optional.empty();
        if (dead.isPresent() || remote.isPresent()) {
            send(dead.or(() -> remote).get(), probe(++mSequence));
            return;
        }
        mTarget = mRounds.next(localPeers());
        mTargetProbedAt = now;
        mTarget.ifPresent(target -> send(target, probe(++mSequence)));
    }

    /** Returns whether the current probe is one of every {@code count} probes. */
    private boolean isNthProbe(int count) {
        return mProbeCount % count == 0;
    }

    private void sendIndirectProbesIfDue(Instant now) {
        Instant bound = mTargetProbedAt.plus(mSettings.acknowledgementTimeout());
        if (mTarget.isEmpty() || mIndirectProbesSent || now.isBefore(bound)) {
            return;
        }
        mIndirectProbesSent = true;
        IndirectProbe request =
                IndirectProbe.newBuilder()
                        .setSequence(mSequence)
                        .setTarget(mTarget.get().value())
                        .build();
        List<NodeName> others = localPeers();
        others.remove(mTarget.get());
        for (int count = 0; count < mSettings.indirectProbes() && !others.isEmpty(); count++) {
            NodeName other = others.remove(mRandom.nextInt(others.size()));
            send(other, MembershipMessage.newBuilder().setIndirectProbe(request));
        }
    }

    private void suspectUnacknowledged(Instant now) {
        Optional<Member> unacknowledged = mTarget.flatMap(mTable::get);
        if (unacknowledged.isEmpty()) {
            return;
        }
        Member member = unacknowledged.get();
        if (member.state() == MemberState.ALIVE) {
            mTable.put(member.withState(MemberState.SUSPECT), now);
        } else {
            // A leaving member stays in this state while its suspicion timeout runs.
            mTable.startSuspicion(member.node(), now);
        }
    }

    private void acknowledge(NodeName from, long sequence) {
        ProbeAcknowledgement acknowledgement =
                ProbeAcknowledgement.newBuilder().setSequence(sequence).build();
        send(from, MembershipMessage.newBuilder().setAcknowledgement(acknowledgement));
    }

    private void onAcknowledgement(NodeName from, long sequence) {
        if (sequence == mSequence && mTarget.isPresent()) {
            mTable.get(mTarget.get())
                    .filter(member -> member.state() == MemberState.LEAVING)
                    .ifPresent(member -> mTable.endSuspicion(member.node()));
            mTarget = Optional.empty();
        }
        mIndirectProbes
                .take(from, sequence)
                .ifPresent(pending -> acknowledge(pending.requester(), pending.sequence()));
    }

    private void probeOnBehalfOf(NodeName requester, IndirectProbe request, Instant now) {
        NodeName target = NodeName.of(request.getTarget());
        if (mTable.get(target).isPresent()) {
            long sequence = mIndirectProbes.add(requester, request.getSequence(), target, now);
            send(target, probe(sequence));
        }
    }

    private static MembershipMessage.Builder probe(long sequence) {
        return MembershipMessage.newBuilder().setProbe(Probe.newBuilder().setSequence(sequence));
    }

    private void send(NodeName to, MembershipMessage.Builder message) {
        message.setSender(MemberUpdateCodec.write(self()));
        Set<NodeName> included = new HashSet<>(List.of(mSelf));
        // Includes the state of the receiver unless it is alive, so that the receiver can refute
        // it.
        mTable.get(to)
                .filter(member -> member.state() != MemberState.ALIVE)
                .ifPresent(member -> include(message, member, included));
        int space = mSettings.maximumUpdatesPerMessage() - message.getUpdatesCount();
        for (Member member : mTable.pollUpdates(space)) {
            include(message, member, included);
        }
        if (message.getUpdatesCount() == 0) {
            include(message, randomMember(), included);
        }
        mOutbox.send(to, message.build());
    }

    private static void include(
            MembershipMessage.Builder message, Member member, Set<NodeName> included) {
        if (member.incarnation() > 0 && included.add(member.node())) {
            message.addUpdates(MemberUpdateCodec.write(member));
        }
    }

    private void merge(MemberUpdate message, Instant now) {
        Optional<Member> parsed = MemberUpdateCodec.read(message);
        if (parsed.isEmpty()) {
            return;
        }
        Member update = parsed.get();
        if (!update.node().equals(mSelf)) {
            mTable.merge(update, now);
        } else if (contradicts(update)) {
            Member self = self();
            int refutation = Math.max(self.refutation(), update.refutation()) + 1;
            mTable.put(
                    new Member(mSelf, mDataCentre, self.incarnation(), refutation, self.state()),
                    now);
        }
    }

    /** Returns whether an update about this process overrides the state that it has announced. */
    private boolean contradicts(Member update) {
        return update.incarnation() == self().incarnation() && update.overrides(self());
    }

    private Member self() {
        return mTable.get(mSelf).orElseThrow();
    }

    private List<NodeName> localPeers() {
        List<NodeName> localPeers = new ArrayList<>();
        for (Member member : mTable.all()) {
            boolean other = !member.node().equals(mSelf);
            boolean same = member.dataCentre().equals(mDataCentre);
            if (other && same && member.state() != MemberState.DEAD) {
                localPeers.add(member.node());
            }
        }
        return localPeers;
    }

    private Optional<NodeName> randomRemotePeer() {
        return randomOf(
                mTable.all().stream()
                        .filter(member -> !member.dataCentre().equals(mDataCentre))
                        .filter(member -> member.state() != MemberState.DEAD)
                        .map(Member::node)
                        .toList());
    }

    private Optional<NodeName> randomDeadMember() {
        return randomOf(
                mTable.all().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .map(Member::node)
                        .filter(mListed::containsKey)
                        .toList());
    }

    private Optional<NodeName> randomOf(List<NodeName> nodes) {
        return nodes.isEmpty()
                ? Optional.empty()
                : Optional.of(nodes.get(mRandom.nextInt(nodes.size())));
    }

    private Member randomMember() {
        return Iterables.get(mTable.all(), mRandom.nextInt(mTable.size()));
    }

    private Member withListedState(Member member) {
        boolean leaving =
                !mListedLeaving.isEmpty()
                        && member.isDutyCandidate()
                        && mListedLeaving.contains(member.node());
        return leaving ? member.withState(MemberState.LEAVING) : member;
    }

    private void reportChange(boolean listChanged) {
        if (mTable.consumeChanged() || listChanged) {
            mOutbox.changed(view());
        }
    }
}
