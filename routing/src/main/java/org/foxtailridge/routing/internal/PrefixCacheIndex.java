package org.foxtailridge.routing.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailridge.routing.CacheEvent;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingSettings;

/**
 * Index from prompt prefixes to the endpoints that are expected to hold them in their caches.
 *
 * <p>Entries come from cache events and, with less confidence, from the attempts of this node. They
 * expire unless they are confirmed. A gap in an endpoint's events may hide an eviction, so it
 * halves the confidence of all earlier entries of the endpoint and shortens their expiry. A restart
 * of the endpoint voids them. The number of prefixes is bounded, with the least recently used
 * evicted first, and so is the number of endpoints for each prefix. Confined to the router's
 * thread.
 */
public final class PrefixCacheIndex {
    private static final double EVENT_CONFIDENCE = 1;
    private static final double COMPUTED_PROMPT_CONFIDENCE = 0.9;
    private static final double AFTER_GAP_FACTOR = 0.5;

    private final RoutingSettings mSettings;
    private final Map<PrefixKey, List<Holder>> mHolders;
    private RouteRequest mLastRequest;
    private PrefixMatch mLastMatch;

    /** Creates an empty index. */
    public PrefixCacheIndex(RoutingSettings settings) {
        mSettings = settings;
        mHolders = new LruMap(settings.maximumPrefixes());
    }

    /**
     * Applies cache events of an endpoint; events of earlier incarnations and duplicates are
     * ignored.
     */
    public void applyEvents(EndpointEntry entry, CacheEventBatch batch, long now) {
        if (!entry.cacheEventCursor().acceptIncarnation(batch.incarnation())) {
            return;
        }
        for (CacheEvent event : batch.events()) {
            if (entry.cacheEventCursor().acceptSequence(event.sequence(), now)) {
                apply(entry, event, now);
            }
        }
    }

    /** Adds the prefixes of a request whose prompt an endpoint has computed for this node. */
    public void recordComputedPrompt(EndpointEntry entry, RouteRequest request, long now) {
        for (PromptPrefix prefix : request.prefixes()) {
            PrefixKey key = new PrefixKey(request.target().name(), prefix.hash());
            store(key, new Holder(entry, prefix.tokens(), COMPUTED_PROMPT_CONFIDENCE, now));
        }
    }

    /**
     * Returns the endpoints that are expected to hold the longest prefixes of a request. The latest
     * result is kept until the index changes, as one decision asks several times.
     */
    public PrefixMatch match(RouteRequest request) {
        if (request != mLastRequest) {
            mLastMatch = find(request);
            mLastRequest = request;
        }
        return mLastMatch;
    }

    private PrefixMatch find(RouteRequest request) {
        List<PromptPrefix> prefixes = request.prefixes();
        if (prefixes.isEmpty()) {
            return PrefixMatch.NONE;
        }
        int longest = prefixes.size() - 1;
        int shortest = Math.max(0, longest + 1 - mSettings.maximumPrefixesLookedUp());
        List<List<Holder>> found = new ArrayList<>();
        for (int index = longest; index >= shortest; index--) {
            PrefixKey key = new PrefixKey(request.target().name(), prefixes.get(index).hash());
            List<Holder> holders = mHolders.get(key);
            if (holders != null) {
                found.add(holders);
            }
        }
        return found.isEmpty() ? PrefixMatch.NONE : new PrefixMatch(this, found);
    }

    /** Returns the number of prefixes in the index. */
    public int size() {
        return mHolders.size();
    }

    /** Returns the tokens of the prefix multiplied by the confidence that they are still cached. */
    double expectedTokens(Holder holder, long now) {
        CacheEventCursor cursor = holder.mEntry.cacheEventCursor();
        boolean expired = now - holder.mUpdatedMilliseconds > mSettings.prefixExpiryMilliseconds();
        if (expired || holder.mEpoch != cursor.epoch()) {
            return 0;
        }
        if (holder.mGapCount == cursor.gapCount()) {
            return holder.mTokens * holder.mConfidence;
        }
        boolean expiredAfterGap =
                now - cursor.gapMilliseconds() > mSettings.prefixExpiryAfterGapMilliseconds();
        return expiredAfterGap ? 0 : holder.mTokens * holder.mConfidence * AFTER_GAP_FACTOR;
    }

    private void apply(EndpointEntry entry, CacheEvent event, long now) {
        mLastRequest = null;
        PrefixKey key = new PrefixKey(event.model(), event.prefix().hash());
        if (event.kind() == CacheEvent.Kind.STORED) {
            store(key, new Holder(entry, event.prefix().tokens(), EVENT_CONFIDENCE, now));
            return;
        }
        List<Holder> holders = mHolders.get(key);
        if (holders == null) {
            return;
        }
        holders.removeIf(holder -> holder.mEntry == entry);
        if (holders.isEmpty()) {
            mHolders.remove(key);
        }
    }

    private void store(PrefixKey key, Holder holder) {
        mLastRequest = null;
        List<Holder> holders = mHolders.computeIfAbsent(key, unused -> new ArrayList<>(1));
        holders.removeIf(other -> other.mEntry == holder.mEntry);
        if (holders.size() >= mSettings.maximumEndpointsPerPrefix()) {
            holders.remove(0);
        }
        holders.add(holder);
    }

    private record PrefixKey(String model, String hash) {}

    /** One endpoint that is expected to hold a prefix. */
    static final class Holder {
        private final EndpointEntry mEntry;
        private final int mTokens;
        private final double mConfidence;
        private final long mUpdatedMilliseconds;
        private final int mEpoch;
        private final int mGapCount;

        private Holder(EndpointEntry entry, int tokens, double confidence, long now) {
            mEntry = entry;
            mTokens = tokens;
            mConfidence = confidence;
            mUpdatedMilliseconds = now;
            mEpoch = entry.cacheEventCursor().epoch();
            mGapCount = entry.cacheEventCursor().gapCount();
        }

        EndpointEntry entry() {
            return mEntry;
        }
    }

    private static final class LruMap extends LinkedHashMap<PrefixKey, List<Holder>> {
        private static final int INITIAL_CAPACITY = 1024;
        private static final float LOAD_FACTOR = 0.75f;

        private final int mMaximum;

        private LruMap(int maximum) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            mMaximum = maximum;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<PrefixKey, List<Holder>> eldest) {
            return size() > mMaximum;
        }
    }
}
