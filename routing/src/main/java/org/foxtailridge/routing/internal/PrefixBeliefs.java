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
 * What is believed to be in the prompt caches of endpoints.
 *
 * <p>Beliefs come from cache events and from this node's own answers. A gap in an endpoint's events
 * halves the weight of what was known before, until it is confirmed or too old. The number of
 * prefixes and of endpoints for each is bounded; the prefixes used least recently are dropped.
 */
public final class PrefixBeliefs {
    private static final double CERTAIN_WEIGHT = 1;
    private static final double OWN_ANSWER_WEIGHT = 0.9;
    private static final double AFTER_GAP_WEIGHT = 0.5;

    private final RoutingSettings mSettings;
    private final Map<PrefixKey, List<Holder>> mHolders;
    private RouteRequest mLastRequest;
    private PrefixMatch mLastMatch;

    /** Creates beliefs that hold nothing. */
    public PrefixBeliefs(RoutingSettings settings) {
        mSettings = settings;
        mHolders = new LruMap(settings.maximumPrefixes());
    }

    /** Takes in cache events of an endpoint. */
    public void changed(EndpointEntry entry, CacheEventBatch events, long now) {
        if (!entry.cacheFeed().enter(events.incarnation())) {
            return;
        }
        for (CacheEvent event : events.events()) {
            if (entry.cacheFeed().advance(event.sequence(), now)) {
                apply(entry, event, now);
            }
        }
    }

    /** Takes in that an endpoint has computed the prompt of a request of this node. */
    public void answered(EndpointEntry entry, RouteRequest request, long now) {
        for (PromptPrefix prefix : request.prefixes()) {
            PrefixKey key = new PrefixKey(request.target().name(), prefix.hash());
            store(key, new Holder(entry, prefix.tokens(), OWN_ANSWER_WEIGHT, now));
        }
    }

    /** Returns the holders of the longest prefixes of a request; empty lists where unknown. */
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

    /** Returns the number of prefixes held. */
    public int size() {
        return mHolders.size();
    }

    /** Returns the tokens expected to be cached, weighted by how sure that is. */
    double expectedTokens(Holder holder, long now) {
        CacheFeed feed = holder.mEntry.cacheFeed();
        boolean old = now - holder.mSeenMilliseconds > mSettings.beliefMilliseconds();
        if (old || holder.mEpoch != feed.epoch()) {
            return 0;
        }
        if (holder.mGaps == feed.gaps()) {
            return holder.mTokens * holder.mWeight;
        }
        boolean stale = now - feed.gapMilliseconds() > mSettings.staleBeliefMilliseconds();
        return stale ? 0 : holder.mTokens * holder.mWeight * AFTER_GAP_WEIGHT;
    }

    private void apply(EndpointEntry entry, CacheEvent event, long now) {
        mLastRequest = null;
        PrefixKey key = new PrefixKey(event.model(), event.prefix().hash());
        if (event.kind() == CacheEvent.Kind.STORED) {
            store(key, new Holder(entry, event.prefix().tokens(), CERTAIN_WEIGHT, now));
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
        if (holders.size() >= mSettings.maximumHoldersPerPrefix()) {
            holders.remove(0);
        }
        holders.add(holder);
    }

    private record PrefixKey(String model, String hash) {}

    /** One endpoint that is believed to hold a prefix. */
    static final class Holder {
        private final EndpointEntry mEntry;
        private final int mTokens;
        private final double mWeight;
        private final long mSeenMilliseconds;
        private final int mEpoch;
        private final int mGaps;

        private Holder(EndpointEntry entry, int tokens, double weight, long now) {
            mEntry = entry;
            mTokens = tokens;
            mWeight = weight;
            mSeenMilliseconds = now;
            mEpoch = entry.cacheFeed().epoch();
            mGaps = entry.cacheFeed().gaps();
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
