package org.foxtailridge.routing.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.foxtailridge.routing.CacheEvent;
import org.foxtailridge.routing.CacheEventBatch;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingFixtures;
import org.foxtailridge.routing.RoutingSettings;
import org.junit.jupiter.api.Test;

/**
 * Compares the index with the exact cache of an engine while events are delayed, duplicated and
 * lost and the engine restarts.
 *
 * <p>Guards against entries that count as certain although a lost event may have evicted them,
 * which routes prompts to endpoints without the prefix.
 */
class PrefixCacheIndexDifferentialTest {
    private static final int STEPS = 60;
    private static final int PREFIXES = 6;
    private static final long EXPIRY_AFTER_GAP_MILLISECONDS = 1_000;
    private static final int TOKENS = 100;

    @Property(seed = "64", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_be_certain_only_of_prefixes_that_events_confirm(@ForAll long seed) {
        new Simulation(seed, true).run();
    }

    @Test
    void should_detect_an_index_that_ignores_event_gaps() {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 200; seed++) {
                                new Simulation(seed, false).run();
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void should_not_exceed_the_maximum_number_of_prefixes() {
        // GIVEN
        RoutingSettings settings = RoutingSettings.builder("lautoka-a").maximumPrefixes(50).build();
        PrefixCacheIndex prefixIndex = new PrefixCacheIndex(settings);
        EndpointEntry entry =
                new EndpointEntry(RoutingFixtures.engine("engine", "pool", "lautoka-a"));
        // WHEN
        for (int index = 0; index < 1000; index++) {
            CacheEvent event = event(index, CacheEvent.Kind.STORED, "hash-" + index);
            prefixIndex.applyEvents(entry, new CacheEventBatch(1, List.of(event)), 0);
        }
        // THEN
        assertThat(prefixIndex.size()).isEqualTo(50);
    }

    private static CacheEvent event(long sequence, CacheEvent.Kind kind, String hash) {
        return new CacheEvent(sequence, kind, "lots", new PromptPrefix(hash, TOKENS));
    }

    /** One engine with an exact cache, and the index fed through a channel that loses events. */
    private static final class Simulation {
        private final UniformRandomProvider mRandom;
        private final boolean mKeepsGaps;
        private final EndpointEntry mEntry =
                new EndpointEntry(RoutingFixtures.engine("engine", "pool", "lautoka-a"));
        private final PrefixCacheIndex mPrefixIndex =
                new PrefixCacheIndex(
                        RoutingSettings.builder("lautoka-a")
                                .prefixExpiryAfterGapMilliseconds(EXPIRY_AFTER_GAP_MILLISECONDS)
                                .build());
        private final Set<String> mCache = new HashSet<>();
        private final List<CacheEvent> mUnsent = new ArrayList<>();
        private final Map<String, Boolean> mDelivered = new HashMap<>();
        private long mIncarnation = 1;
        private long mSequence;
        private long mSentSequence;
        private long mNow;
        private boolean mLostAny;
        private boolean mLossKnown = true;

        private Simulation(long seed, boolean keepsGaps) {
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            mKeepsGaps = keepsGaps;
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                switch (mRandom.nextInt(8)) {
                    case 0, 1, 2 -> changeCache();
                    case 3, 4 -> deliver();
                    case 5 -> loseEvents();
                    case 6 -> mNow += mRandom.nextInt(800);
                    default -> restart();
                }
                check();
            }
        }

        private void changeCache() {
            String hash = "hash-" + mRandom.nextInt(PREFIXES);
            boolean stored = !mCache.remove(hash);
            if (stored) {
                mCache.add(hash);
            }
            CacheEvent.Kind kind = stored ? CacheEvent.Kind.STORED : CacheEvent.Kind.EVICTED;
            mUnsent.add(event(mSequence++, kind, hash));
        }

        private void deliver() {
            if (mUnsent.isEmpty()) {
                return;
            }
            List<CacheEvent> events = new ArrayList<>();
            for (CacheEvent event : mUnsent) {
                long number = mKeepsGaps ? event.sequence() : mSentSequence++;
                events.add(event(number, event.kind(), event.prefix().hash()));
                mDelivered.put(event.prefix().hash(), event.kind() == CacheEvent.Kind.STORED);
            }
            mLossKnown = true;
            mUnsent.clear();
            mPrefixIndex.applyEvents(mEntry, new CacheEventBatch(mIncarnation, events), mNow);
            mPrefixIndex.applyEvents(mEntry, new CacheEventBatch(mIncarnation, events), mNow);
        }

        private void loseEvents() {
            mLossKnown &= mUnsent.isEmpty();
            mLostAny |= !mUnsent.isEmpty();
            mUnsent.clear();
        }

        private void restart() {
            if (mRandom.nextInt(4) != 0) {
                return;
            }
            long old = mIncarnation++;
            mCache.clear();
            mUnsent.clear();
            mDelivered.clear();
            mSequence = 0;
            mSentSequence = 0;
            mLossKnown = true;
            mLostAny = false;
            mPrefixIndex.applyEvents(mEntry, new CacheEventBatch(mIncarnation, List.of()), mNow);
            CacheEvent late = event(1000, CacheEvent.Kind.STORED, "hash-0");
            mPrefixIndex.applyEvents(mEntry, new CacheEventBatch(old, List.of(late)), mNow);
        }

        private void check() {
            boolean complete = mUnsent.isEmpty() && mLossKnown;
            for (int index = 0; index < PREFIXES; index++) {
                String hash = "hash-" + index;
                double expected = expectedTokens(hash);
                if (expected == TOKENS && complete) {
                    assertThat(mDelivered.getOrDefault(hash, false)).as(hash).isTrue();
                    assertThat(mCache).as("certain prefix is cached").contains(hash);
                }
                if (complete && !mLostAny && mCache.contains(hash)) {
                    assertThat(expected).as("certain without any gap").isEqualTo(TOKENS);
                }
            }
        }

        private double expectedTokens(String hash) {
            RouteRequest request =
                    RoutingFixtures.request("request", "lots")
                            .prefixes(List.of(new PromptPrefix(hash, TOKENS)))
                            .build();
            return mPrefixIndex.match(request).cachedTokens(mEntry, mNow);
        }
    }
}
