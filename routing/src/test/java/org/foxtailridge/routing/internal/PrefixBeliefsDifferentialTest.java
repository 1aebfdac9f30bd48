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
import org.foxtailridge.routing.Fleets;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.RouteRequest;
import org.foxtailridge.routing.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Checks beliefs against the exact caches, with late, doubled and lost events and restarts. */
class PrefixBeliefsDifferentialTest {
    private static final int STEPS = 60;
    private static final int PREFIXES = 6;
    private static final long STALE_MILLISECONDS = 1_000;
    private static final int TOKENS = 100;

    @Property(seed = "64", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_be_sure_only_of_what_the_events_say(@ForAll long seed) {
        new Run(seed, true).run();
    }

    @Test
    void should_catch_gaps_that_go_unnoticed() {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 200; seed++) {
                                new Run(seed, false).run();
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    @Test
    void should_stay_within_its_bound() {
        // GIVEN
        RoutingSettings settings = RoutingSettings.builder("lautoka-a").maximumPrefixes(50).build();
        PrefixBeliefs beliefs = new PrefixBeliefs(settings);
        EndpointEntry entry = new EndpointEntry(Fleets.engine("engine", "pool", "lautoka-a"));
        // WHEN
        for (int index = 0; index < 1000; index++) {
            CacheEvent event = event(index, CacheEvent.Kind.STORED, "hash-" + index);
            beliefs.changed(entry, new CacheEventBatch(1, List.of(event)), 0);
        }
        // THEN
        assertThat(beliefs.size()).isEqualTo(50);
    }

    private static CacheEvent event(long sequence, CacheEvent.Kind kind, String hash) {
        return new CacheEvent(sequence, kind, "lots", new PromptPrefix(hash, TOKENS));
    }

    /** One engine with an exact cache, and the beliefs fed through a channel that loses events. */
    private static final class Run {
        private final UniformRandomProvider mRandom;
        private final boolean mNumbered;
        private final EndpointEntry mEntry =
                new EndpointEntry(Fleets.engine("engine", "pool", "lautoka-a"));
        private final PrefixBeliefs mBeliefs =
                new PrefixBeliefs(
                        RoutingSettings.builder("lautoka-a")
                                .staleBeliefMilliseconds(STALE_MILLISECONDS)
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

        private Run(long seed, boolean numbered) {
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            mNumbered = numbered;
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                switch (mRandom.nextInt(8)) {
                    case 0, 1, 2 -> changeCache();
                    case 3, 4 -> deliver();
                    case 5 -> lose();
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
                long number = mNumbered ? event.sequence() : mSentSequence++;
                events.add(event(number, event.kind(), event.prefix().hash()));
                mDelivered.put(event.prefix().hash(), event.kind() == CacheEvent.Kind.STORED);
            }
            mLossKnown = true;
            mUnsent.clear();
            mBeliefs.changed(mEntry, new CacheEventBatch(mIncarnation, events), mNow);
            mBeliefs.changed(mEntry, new CacheEventBatch(mIncarnation, events), mNow);
        }

        private void lose() {
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
            mBeliefs.changed(mEntry, new CacheEventBatch(mIncarnation, List.of()), mNow);
            CacheEvent late = event(1000, CacheEvent.Kind.STORED, "hash-0");
            mBeliefs.changed(mEntry, new CacheEventBatch(old, List.of(late)), mNow);
        }

        private void check() {
            boolean complete = mUnsent.isEmpty() && mLossKnown;
            for (int index = 0; index < PREFIXES; index++) {
                String hash = "hash-" + index;
                double expected = expectedTokens(hash);
                if (expected == TOKENS && complete) {
                    assertThat(mDelivered.getOrDefault(hash, false)).as(hash).isTrue();
                    assertThat(mCache).as("believed with certainty").contains(hash);
                }
                if (complete && !mLostAny && mCache.contains(hash)) {
                    assertThat(expected).as("known without any gap").isEqualTo(TOKENS);
                }
            }
        }

        private double expectedTokens(String hash) {
            RouteRequest request =
                    Fleets.request("request", "lots")
                            .prefixes(List.of(new PromptPrefix(hash, TOKENS)))
                            .build();
            return mBeliefs.match(request).cachedTokens(mEntry, mNow);
        }
    }
}
