package org.foxtailridge.membership.probe;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;

/** The statements about all nodes, and how often each new one is still to be sent. */
final class MemberTable {
    private final MembershipSettings mSettings;
    private final Map<NodeName, Member> mMembers = new TreeMap<>();
    private final SpreadQueue mToSpread = new SpreadQueue();
    private final Map<NodeName, Instant> mSuspectedAt = new HashMap<>();
    private final Map<NodeName, Instant> mDeadAt = new HashMap<>();
    private boolean mChanged;

    MemberTable(MembershipSettings settings) {
        mSettings = settings;
    }

    Optional<Member> get(NodeName node) {
        return Optional.ofNullable(mMembers.get(node));
    }

    Collection<Member> all() {
        return mMembers.values();
    }

    int size() {
        return mMembers.size();
    }

    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /** Takes a statement if it is newer than the one held; returns whether it was taken. */
    boolean merge(Member statement, Instant now) {
        Member held = mMembers.get(statement.node());
        boolean full = held == null && mMembers.size() >= mSettings.maximumMembers();
        if (full || (held != null && !statement.overrides(held))) {
            return false;
        }
        if (held == null && statement.state() == MemberState.DEAD) {
            return false;
        }
        put(statement, now);
        return true;
    }

    /** Sets a statement of this node's own, whatever was held before. */
    void put(Member statement, Instant now) {
        NodeName node = statement.node();
        mMembers.put(node, statement);
        mToSpread.put(statement, mSettings.spreadFactor() * powersOf(2, mMembers.size()));
        mChanged = true;
        if (statement.state() != MemberState.SUSPECT && statement.state() != MemberState.LEAVING) {
            mSuspectedAt.remove(node);
        } else if (statement.state() == MemberState.SUSPECT) {
            mSuspectedAt.putIfAbsent(node, now);
        }
        if (statement.state() == MemberState.DEAD) {
            mDeadAt.put(node, now);
        } else {
            mDeadAt.remove(node);
        }
    }

    /** Starts the time that a node which did not answer has to show that it lives. */
    void startSuspicion(NodeName node, Instant now) {
        mSuspectedAt.putIfAbsent(node, now);
    }

    void endSuspicion(NodeName node) {
        mSuspectedAt.remove(node);
    }

    boolean hasSuspects() {
        return !mSuspectedAt.isEmpty();
    }

    /** Returns the nodes whose time to refute is over. */
    List<Member> overdue(Instant now, int nodes) {
        Instant bound = now.minus(mSettings.suspicionUnit().multipliedBy(powersOf(10, nodes)));
        List<Member> overdue = new ArrayList<>();
        mSuspectedAt.forEach(
                (node, since) -> {
                    if (!since.isAfter(bound)) {
                        overdue.add(mMembers.get(node));
                    }
                });
        return overdue;
    }

    /** Forgets nodes that have been dead for long and are not listed. */
    void forget(Collection<NodeName> listed, Instant now) {
        Instant bound = now.minus(mSettings.forgetAfter());
        List<NodeName> old = new ArrayList<>();
        mDeadAt.forEach(
                (node, since) -> {
                    if (since.isBefore(bound) && !listed.contains(node)) {
                        old.add(node);
                    }
                });
        old.forEach(this::remove);
    }

    /** Returns statements that are still to be sent, the most urgent first. */
    List<Member> takeToSpread(int maximum) {
        return mToSpread.take(maximum);
    }

    private void remove(NodeName node) {
        mMembers.remove(node);
        mToSpread.remove(node);
        mSuspectedAt.remove(node);
        mDeadAt.remove(node);
        mChanged = true;
    }

    private static int powersOf(int base, int count) {
        int powers = 1;
        for (long reached = base; reached < count + 1L; reached *= base) {
            powers++;
        }
        return powers;
    }
}
