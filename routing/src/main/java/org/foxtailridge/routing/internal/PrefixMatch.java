package org.foxtailridge.routing.internal;

import java.util.List;

/** Endpoints that are expected to hold prefixes of one prompt, the longest prefix first. */
public final class PrefixMatch {
    /** Match of a prompt of which no endpoint is expected to hold any prefix. */
    static final PrefixMatch NONE = new PrefixMatch(null, List.of());

    private final PrefixCacheIndex mPrefixIndex;
    private final List<List<PrefixCacheIndex.Holder>> mHolders;

    PrefixMatch(PrefixCacheIndex prefixIndex, List<List<PrefixCacheIndex.Holder>> holders) {
        mPrefixIndex = prefixIndex;
        mHolders = holders;
    }

    /** Returns the expected number of prompt tokens that the endpoint has cached. */
    double cachedTokens(EndpointEntry entry, long now) {
        double maximum = 0;
        for (List<PrefixCacheIndex.Holder> holders : mHolders) {
            for (PrefixCacheIndex.Holder holder : holders) {
                if (holder.entry() == entry) {
                    maximum = Math.max(maximum, mPrefixIndex.expectedTokens(holder, now));
                }
            }
        }
        return maximum;
    }

    /** Adds the holders to the preferred endpoints of a sample, the longest prefixes first. */
    void addTo(CandidateSample sample) {
        for (List<PrefixCacheIndex.Holder> holders : mHolders) {
            for (PrefixCacheIndex.Holder holder : holders) {
                sample.addPreferred(holder.entry());
            }
        }
    }
}
