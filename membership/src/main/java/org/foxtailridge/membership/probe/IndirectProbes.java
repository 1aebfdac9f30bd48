package org.foxtailridge.membership.probe;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;

/**
 * Pending indirect probes: probes that this node sends on behalf of other nodes, until they are
 * acknowledged or too old. Bounded and not thread-safe.
 */
final class IndirectProbes {
    /**
     * Sequence numbers of indirect probes start above this value, those of the node's own probes at
     * 1. Acknowledgements are matched by sequence number, so the two ranges must not overlap.
     */
    private static final long FIRST_SEQUENCE = 1L << 40;

    private final int mMaximumPending;
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private long mSequence = FIRST_SEQUENCE;

    IndirectProbes(int maximumPending) {
        mMaximumPending = maximumPending;
    }

    /**
     * Adds a probe and returns the sequence number with which to probe the target. When the maximum
     * is reached the probe is not added, and its acknowledgement has no effect.
     */
    long add(NodeName requester, long sequence, NodeName target, Instant now) {
        mSequence++;
        if (mPending.size() < mMaximumPending) {
            mPending.put(mSequence, new Pending(requester, sequence, target, now));
        }
        return mSequence;
    }

    /** Removes and returns the probe that an acknowledgement of the target belongs to. */
    Optional<Pending> take(NodeName target, long sequence) {
        Pending pending = mPending.get(sequence);
        if (pending == null || !pending.target().equals(target)) {
            return Optional.empty();
        }
        mPending.remove(sequence);
        return Optional.of(pending);
    }

    void removeBefore(Instant bound) {
        mPending.values().removeIf(pending -> pending.sentAt().isBefore(bound));
    }

    /**
     * A probe sent on behalf of another node.
     *
     * @param requester node that requested the probe
     * @param sequence sequence number that the requester gave its own probe
     * @param target node that is probed
     * @param sentAt time at which the probe was sent
     */
    record Pending(NodeName requester, long sequence, NodeName target, Instant sentAt) {}
}
