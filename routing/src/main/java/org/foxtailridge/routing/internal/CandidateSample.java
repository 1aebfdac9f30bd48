package org.foxtailridge.routing.internal;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Random sample of the candidate endpoints that is scored for one request.
 *
 * <p>Contains preferred endpoints (which are expected to hold a prefix of the prompt or the
 * adapter) and some chosen at random. Sampling keeps the cost of a decision independent of the
 * fleet's size, and keeps nodes with the same load reports from all choosing the same endpoint.
 * Reused for all requests of a router; confined to its thread.
 */
final class CandidateSample {
    private final UniformRandomProvider mRandom;
    private final int mRandomCandidates;
    private final EndpointEntry[] mEntries;
    private int mSize;
    private int mPreferredRemaining;

    CandidateSample(UniformRandomProvider random, int randomCandidates, int preferredCandidates) {
        mRandom = random;
        mRandomCandidates = randomCandidates;
        mEntries = new EndpointEntry[randomCandidates + preferredCandidates];
    }

    void clear() {
        mSize = 0;
        mPreferredRemaining = mEntries.length - mRandomCandidates;
    }

    /** Adds a preferred endpoint, unless it is present or the preferred places are used up. */
    void addPreferred(EndpointEntry entry) {
        if (mPreferredRemaining > 0 && add(entry)) {
            mPreferredRemaining--;
        }
    }

    /** Adds endpoints drawn at random with replacement; all of a list that is small enough. */
    void addRandom(List<EndpointEntry> candidates) {
        int count = candidates.size();
        if (count <= mRandomCandidates) {
            candidates.forEach(this::add);
            return;
        }
        for (int draw = 0; draw < mRandomCandidates; draw++) {
            add(candidates.get(mRandom.nextInt(count)));
        }
    }

    /** Adds preferred endpoints drawn at random with replacement from a list. */
    void addPreferredAtRandom(List<EndpointEntry> candidates, int draws) {
        for (int draw = 0; draw < draws && !candidates.isEmpty(); draw++) {
            addPreferred(candidates.get(mRandom.nextInt(candidates.size())));
        }
    }

    int size() {
        return mSize;
    }

    EndpointEntry get(int index) {
        return mEntries[index];
    }

    private boolean add(EndpointEntry entry) {
        for (int index = 0; index < mSize; index++) {
            if (mEntries[index] == entry) {
                return false;
            }
        }
        if (mSize == mEntries.length) {
            return false;
        }
        mEntries[mSize] = entry;
        mSize++;
        return true;
    }
}
