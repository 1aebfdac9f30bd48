package org.foxtailridge.routing.internal;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Endpoints that are scored for one request.
 *
 * <p>Holds preferred endpoints (which are thought to hold the prompt's prefix or the adapter) and
 * some chosen at random, so that the cost of a decision doesn't grow with the fleet and nodes with
 * the same reports don't all choose the same endpoint.
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

    /** Empties the sample. */
    void clear() {
        mSize = 0;
        mPreferredRemaining = mEntries.length - mRandomCandidates;
    }

    /** Adds an endpoint that is worth scoring, unless there are enough of them. */
    void addPreferred(EndpointEntry entry) {
        if (mPreferredRemaining > 0 && add(entry)) {
            mPreferredRemaining--;
        }
    }

    /** Adds endpoints from the list at random; all of them when there are few. */
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

    /** Adds a few endpoints of the list at random to the preferred ones. */
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
