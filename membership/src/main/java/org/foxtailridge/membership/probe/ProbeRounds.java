package org.foxtailridge.membership.probe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.core.name.NodeName;

/** Goes over nodes in random order, each once in a round. */
final class ProbeRounds {
    private final UniformRandomProvider mRandom;
    private final List<NodeName> mLeft = new ArrayList<>();

    ProbeRounds(UniformRandomProvider random) {
        mRandom = random;
    }

    /** Returns the next of the candidates; empty when there is none. */
    Optional<NodeName> next(Collection<NodeName> candidates) {
        mLeft.retainAll(new HashSet<>(candidates));
        if (mLeft.isEmpty()) {
            mLeft.addAll(candidates);
        }
        if (mLeft.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(mLeft.remove(mRandom.nextInt(mLeft.size())));
    }
}
