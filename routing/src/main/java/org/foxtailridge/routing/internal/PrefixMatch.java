package org.foxtailridge.routing.internal;

import java.util.List;

/** Endpoints believed to hold prefixes of one prompt, the longest prefix first. */
public final class PrefixMatch {
    /** No endpoint is believed to hold any prefix. */
    static final PrefixMatch NONE = new PrefixMatch(null, List.of());

    private final PrefixBeliefs mBeliefs;
    private final List<List<PrefixBeliefs.Holder>> mHolders;

    PrefixMatch(PrefixBeliefs beliefs, List<List<PrefixBeliefs.Holder>> holders) {
        mBeliefs = beliefs;
        mHolders = holders;
    }

    /** Returns the tokens of the prompt that an endpoint need not compute, as expected value. */
    double cachedTokens(EndpointEntry entry, long now) {
        double most = 0;
        for (List<PrefixBeliefs.Holder> holders : mHolders) {
            for (PrefixBeliefs.Holder holder : holders) {
                if (holder.entry() == entry) {
                    most = Math.max(most, mBeliefs.expectedTokens(holder, now));
                }
            }
        }
        return most;
    }

    /** Adds the holders of the longest prefixes to a sample, as far as it has room. */
    void addTo(CandidateSample sample) {
        for (List<PrefixBeliefs.Holder> holders : mHolders) {
            for (PrefixBeliefs.Holder holder : holders) {
                sample.addPreferred(holder.entry());
            }
        }
    }
}
