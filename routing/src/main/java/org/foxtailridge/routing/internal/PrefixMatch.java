package org.foxtailridge.routing.internal;

import java.util.List;

/** Endpoints believed to hold prefixes of one prompt, the longest prefix first. */
public final class PrefixMatch {
    /** No endpoint is believed to hold any prefix. */
    static final PrefixMatch NONE = new PrefixMatch(null, List.of());

    private final PrefixCacheIndex mPrefixIndex;
    private final List<List<PrefixCacheIndex.Holder>> mHolders;

    PrefixMatch(PrefixCacheIndex prefixIndex, List<List<PrefixCacheIndex.Holder>> holders) {
        mPrefixIndex = prefixIndex;
        mHolders = holders;
    }

    /** Returns the tokens of the prompt that an endpoint need not compute, as expected value. */
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

    /** Adds the holders of the longest prefixes to a sample, as far as it has room. */
    void addTo(CandidateSample sample) {
        for (List<PrefixCacheIndex.Holder> holders : mHolders) {
            for (PrefixCacheIndex.Holder holder : holders) {
                sample.addPreferred(holder.entry());
            }
        }
    }
}
