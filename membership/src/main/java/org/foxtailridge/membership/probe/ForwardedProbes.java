package org.foxtailridge.membership.probe;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailridge.core.name.NodeName;

/** Probes that this node makes for others, until they are answered or too old. */
final class ForwardedProbes {
    private static final long FIRST_SEQUENCE = 1L << 40;

    private final int mMaximum;
    private final Map<Long, Forwarded> mWaiting = new LinkedHashMap<>();
    private long mSequence = FIRST_SEQUENCE;

    ForwardedProbes(int maximum) {
        mMaximum = maximum;
    }

    /** Notes a probe and returns the sequence number to probe the target with. */
    long add(NodeName asker, long sequence, NodeName target, Instant now) {
        mSequence++;
        if (mWaiting.size() < mMaximum) {
            mWaiting.put(mSequence, new Forwarded(asker, sequence, target, now));
        }
        return mSequence;
    }

    Optional<Forwarded> take(NodeName target, long sequence) {
        Forwarded forwarded = mWaiting.get(sequence);
        if (forwarded == null || !forwarded.target().equals(target)) {
            return Optional.empty();
        }
        mWaiting.remove(sequence);
        return Optional.of(forwarded);
    }

    void forgetBefore(Instant bound) {
        mWaiting.values().removeIf(forwarded -> forwarded.at().isBefore(bound));
    }

    /**
     * A probe made for another node.
     *
     * @param asker node that asked for it
     * @param sequence the asker's own number
     * @param target node that is probed
     * @param at instant at which it was sent
     */
    record Forwarded(NodeName asker, long sequence, NodeName target, Instant at) {}
}
