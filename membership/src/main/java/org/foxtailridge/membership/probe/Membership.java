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
 * Knows which nodes are live.
 *
 * <p>Every period a node probes one other node of its data centre. If no acknowledgement comes, a
 * few others probe the target for it; if none of them gets one either, the target is suspected, and
 * is dead unless it refutes in time. Statements about nodes ride on these messages, within a bound.
 * Now and then a probe goes to another data centre, which carries statements there; only nodes of
 * the same data centre suspect each other. Not safe for use by several threads.
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
 * membership.onMessage(from, message); // subject MEMBERSHIP
 * membership.view().dutyNodes();
 * membership.leave(); // a planned stop begins
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
    private final ForwardedProbes mForwarded;
    private long mSequence;
    private long mProbes;
    private Instant mNextProbeAt = Instant.MIN;
    private Optional<NodeName> mTarget = Optional.empty();
    private Instant mTargetProbedAt = Instant.MIN;
    private boolean mAskedOthers;

    private Membership(MembershipBuilder builder) {
        mSettings = builder.settings();
        mSelf = builder.self();
        mDataCentre = builder.dataCentre();
        mClock = builder.clock();
        mRandom = builder.random();
        mOutbox = builder.outbox();
        mTable = new MemberTable(mSettings);
        mRounds = new ProbeRounds(mRandom);
        mForwarded = new ForwardedProbes(mSettings.maximumMembers());
        long incarnation = builder.incarnation();
        mTable.put(
                new Member(mSelf, mDataCentre, incarnation, 0, MemberState.ALIVE),
                mClock.instant());
    }

    /**
     * Returns a builder.
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

    /** Returns what is known about all nodes; a VM listed as leaving counts as leaving. */
    public MembershipView view() {
        return new MembershipView(mTable.all().stream().map(this::asListed).toList());
    }

    /** Takes the platform's list, which may be old. */
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
            boolean listedOnly = member.incarnation() == 0 && !mListed.containsKey(member.node());
            boolean farGone =
                    !member.dataCentre().equals(mDataCentre)
                            && previous.containsKey(member.node())
                            && !mListed.containsKey(member.node());
            if ((listedOnly || farGone) && member.state() != MemberState.DEAD) {
                mTable.put(member.withState(MemberState.DEAD), now);
            }
        }
        reportChange(changed);
    }

    /** Announces that this node leaves: it takes no new duties and will stop. */
    public void leave() {
        Member self = self();
        if (self.state() != MemberState.LEAVING) {
            mTable.put(self.withState(MemberState.LEAVING), mClock.instant());
            reportChange(false);
        }
    }

    /** Lets time pass. */
    public void tick() {
        Instant now = mClock.instant();
        askOthersIfLate(now);
        if (!now.isBefore(mNextProbeAt)) {
            suspectIfSilent(now);
            startProbe(now);
        }
        if (mTable.hasSuspects()) {
            for (Member member : mTable.overdue(now, near().size() + 1)) {
                mTable.put(member.withState(MemberState.DEAD), now);
            }
        }
        mTable.forget(mListed.keySet(), now);
        mForwarded.forgetBefore(now.minus(mSettings.probePeriod()));
        reportChange(false);
    }

    /**
     * Takes a message of another node.
     *
     * @param from the node
     * @param message its message; one without a known body still carries statements
     */
    public void onMessage(NodeName from, MembershipMessage message) {
        Instant now = mClock.instant();
        merge(message.getSender(), now);
        message.getUpdatesList().forEach(update -> merge(update, now));
        switch (message.getBodyCase()) {
            case PROBE -> acknowledge(from, message.getProbe().getSequence());
            case ACKNOWLEDGEMENT ->
                    onAcknowledgement(from, message.getAcknowledgement().getSequence());
            case INDIRECT_PROBE -> probeFor(from, message.getIndirectProbe(), now);
            default -> {}
        }
    }

    private void startProbe(Instant now) {
        mProbes++;
        mNextProbeAt = now.plus(mSettings.probePeriod());
        mTarget = Optional.empty();
        mAskedOthers = false;
        Optional<NodeName> dead = every(mSettings.deadProbeEvery()) ? anyDead() : Optional.empty();
        Optional<NodeName> far = every(mSettings.farProbeEvery()) ? anyFar() : Optional.empty();
        if (dead.isPresent() || far.isPresent()) {
            send(dead.or(() -> far).get(), probe(++mSequence));
            return;
        }
        mTarget = mRounds.next(near());
        mTargetProbedAt = now;
        mTarget.ifPresent(target -> send(target, probe(++mSequence)));
    }

    private boolean every(int count) {
        return mProbes % count == 0;
    }

    private void askOthersIfLate(Instant now) {
        Instant bound = mTargetProbedAt.plus(mSettings.acknowledgementTimeout());
        if (mTarget.isEmpty() || mAskedOthers || now.isBefore(bound)) {
            return;
        }
        mAskedOthers = true;
        IndirectProbe request =
                IndirectProbe.newBuilder()
                        .setSequence(mSequence)
                        .setTarget(mTarget.get().value())
                        .build();
        List<NodeName> others = near();
        others.remove(mTarget.get());
        for (int count = 0; count < mSettings.indirectProbes() && !others.isEmpty(); count++) {
            NodeName other = others.remove(mRandom.nextInt(others.size()));
            send(other, MembershipMessage.newBuilder().setIndirectProbe(request));
        }
    }

    private void suspectIfSilent(Instant now) {
        Optional<Member> silent = mTarget.flatMap(mTable::get);
        if (silent.isEmpty()) {
            return;
        }
        Member member = silent.get();
        if (member.state() == MemberState.ALIVE) {
            mTable.put(member.withState(MemberState.SUSPECT), now);
        } else {
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
        mForwarded
                .take(from, sequence)
                .ifPresent(forwarded -> acknowledge(forwarded.asker(), forwarded.sequence()));
    }

    private void probeFor(NodeName asker, IndirectProbe request, Instant now) {
        NodeName target = NodeName.of(request.getTarget());
        if (mTable.get(target).isPresent()) {
            long sequence = mForwarded.add(asker, request.getSequence(), target, now);
            send(target, probe(sequence));
        }
    }

    private static MembershipMessage.Builder probe(long sequence) {
        return MembershipMessage.newBuilder().setProbe(Probe.newBuilder().setSequence(sequence));
    }

    private void send(NodeName to, MembershipMessage.Builder message) {
        message.setSender(MemberUpdates.write(self()));
        Set<NodeName> included = new HashSet<>(List.of(mSelf));
        mTable.get(to)
                .filter(member -> member.state() != MemberState.ALIVE)
                .ifPresent(member -> include(message, member, included));
        int room = mSettings.updatesPerMessage() - message.getUpdatesCount();
        for (Member member : mTable.takeToSpread(room)) {
            include(message, member, included);
        }
        if (message.getUpdatesCount() == 0) {
            include(message, anyMember(), included);
        }
        mOutbox.send(to, message.build());
    }

    private static void include(
            MembershipMessage.Builder message, Member member, Set<NodeName> included) {
        if (member.incarnation() > 0 && included.add(member.node())) {
            message.addUpdates(MemberUpdates.write(member));
        }
    }

    private void merge(MemberUpdate update, Instant now) {
        Optional<Member> read = MemberUpdates.read(update);
        if (read.isEmpty()) {
            return;
        }
        Member statement = read.get();
        if (!statement.node().equals(mSelf)) {
            mTable.merge(statement, now);
        } else if (contradicts(statement)) {
            Member self = self();
            int refutation = Math.max(self.refutation(), statement.refutation()) + 1;
            mTable.put(
                    new Member(mSelf, mDataCentre, self.incarnation(), refutation, self.state()),
                    now);
        }
    }

    private boolean contradicts(Member statement) {
        return statement.incarnation() == self().incarnation() && statement.overrides(self());
    }

    private Member self() {
        return mTable.get(mSelf).orElseThrow();
    }

    private List<NodeName> near() {
        List<NodeName> near = new ArrayList<>();
        for (Member member : mTable.all()) {
            boolean other = !member.node().equals(mSelf);
            boolean same = member.dataCentre().equals(mDataCentre);
            if (other && same && member.state() != MemberState.DEAD) {
                near.add(member.node());
            }
        }
        return near;
    }

    private Optional<NodeName> anyFar() {
        return any(
                mTable.all().stream()
                        .filter(member -> !member.dataCentre().equals(mDataCentre))
                        .filter(member -> member.state() != MemberState.DEAD)
                        .map(Member::node)
                        .toList());
    }

    private Optional<NodeName> anyDead() {
        return any(
                mTable.all().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .map(Member::node)
                        .filter(mListed::containsKey)
                        .toList());
    }

    private Optional<NodeName> any(List<NodeName> nodes) {
        return nodes.isEmpty()
                ? Optional.empty()
                : Optional.of(nodes.get(mRandom.nextInt(nodes.size())));
    }

    private Member anyMember() {
        return Iterables.get(mTable.all(), mRandom.nextInt(mTable.size()));
    }

    private Member asListed(Member member) {
        boolean leaving =
                !mListedLeaving.isEmpty()
                        && member.isDutyCandidate()
                        && mListedLeaving.contains(member.node());
        return leaving ? member.withState(MemberState.LEAVING) : member;
    }

    private void reportChange(boolean listChanged) {
        if (mTable.takeChanged() || listChanged) {
            mOutbox.changed(view());
        }
    }
}
