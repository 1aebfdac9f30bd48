package org.foxtailridge.membership.probe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.core.name.NodeName;

/**
 * Randomized round-robin over probe targets: each candidate is probed once in a round, so that a
 * failed node is probed within a bounded number of periods.
 */
final class ProbeRounds {
    private final UniformRandomProvider mRandom;
    private final List<NodeName> mRemaining = new ArrayList<>();

    ProbeRounds(UniformRandomProvider random) {
        mRandom = random;
    }

    /** Returns the next target; empty when there are no candidates. */
    Optional<NodeName> next(Collection<NodeName> candidates) {
        mRemaining.retainAll(new HashSet<>(candidates));
        if (mRemaining.isEmpty()) {
            mRemaining.addAll(candidates);
        }
        if (mRemaining.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(mRemaining.remove(mRandom.nextInt(mRemaining.size())));
    }
}
