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

/**
 * Table of all known nodes: the newest update about each, running suspicions, dead nodes with their
 * time of death, and the queue of updates to disseminate. Bounded by {@code maximumMembers} and not
 * thread-safe.
 */
final class MemberTable {
    private final MembershipSettings mSettings;
    private final Map<NodeName, Member> mMembers = new TreeMap<>();
    private final DisseminationQueue mUpdateQueue = new DisseminationQueue();
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

    /** Returns whether the table has changed since the last call, and clears the flag. */
    boolean consumeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Stores an update if it overrides the present one; returns whether it was stored. An update
     * about an unknown node is ignored if the node is dead or the table is full.
     */
    boolean merge(Member update, Instant now) {
        Member current = mMembers.get(update.node());
        boolean full = current == null && mMembers.size() >= mSettings.maximumMembers();
        if (full || (current != null && !update.overrides(current))) {
            return false;
        }
        if (current == null && update.state() == MemberState.DEAD) {
            return false;
        }
        put(update, now);
        return true;
    }

    /** Stores an update without comparing it to the present one, and queues it for sending. */
    void put(Member update, Instant now) {
        NodeName node = update.node();
        mMembers.put(node, update);
        mUpdateQueue.put(update, mSettings.disseminationFactor() * digitCount(2, mMembers.size()));
        mChanged = true;
        if (update.state() != MemberState.SUSPECT && update.state() != MemberState.LEAVING) {
            mSuspectedAt.remove(node);
        } else if (update.state() == MemberState.SUSPECT) {
            mSuspectedAt.putIfAbsent(node, now);
        }
        if (update.state() == MemberState.DEAD) {
            mDeadAt.put(node, now);
        } else {
            mDeadAt.remove(node);
        }
    }

    /** Starts the suspicion timeout of a node, if none is running. */
    void startSuspicion(NodeName node, Instant now) {
        mSuspectedAt.putIfAbsent(node, now);
    }

    void endSuspicion(NodeName node) {
        mSuspectedAt.remove(node);
    }

    boolean hasSuspects() {
        return !mSuspectedAt.isEmpty();
    }

    /**
     * Returns the nodes whose suspicion timeout has expired.
     *
     * @param nodes number of nodes in the data centre; the timeout grows with its logarithm
     */
    List<Member> expiredSuspects(Instant now, int nodes) {
        Instant bound =
                now.minus(mSettings.baseSuspicionTimeout().multipliedBy(digitCount(10, nodes)));
        List<Member> expiredSuspects = new ArrayList<>();
        mSuspectedAt.forEach(
                (node, since) -> {
                    if (!since.isAfter(bound)) {
                        expiredSuspects.add(mMembers.get(node));
                    }
                });
        return expiredSuspects;
    }

    /** Removes nodes that are not listed and have been dead for longer than the retention. */
    void removeExpiredDead(Collection<NodeName> listed, Instant now) {
        Instant bound = now.minus(mSettings.deadMemberRetention());
        List<NodeName> expired = new ArrayList<>();
        mDeadAt.forEach(
                (node, since) -> {
                    if (since.isBefore(bound) && !listed.contains(node)) {
                        expired.add(node);
                    }
                });
        expired.forEach(this::remove);
    }

    /** Polls updates to send, the most urgent first; see {@link DisseminationQueue}. */
    List<Member> pollUpdates(int maximum) {
        return mUpdateQueue.take(maximum);
    }

    private void remove(NodeName node) {
        mMembers.remove(node);
        mUpdateQueue.remove(node);
        mSuspectedAt.remove(node);
        mDeadAt.remove(node);
        mChanged = true;
    }

    /** Returns the number of digits of a count, which grows with its logarithm. */
    private static int digitCount(int base, int count) {
        int powers = 1;
        for (long reached = base; reached < count + 1L; reached *= base) {
            powers++;
        }
        return powers;
    }
}
