package org.foxtailridge.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailridge.core.name.EndpointName;
import org.foxtailridge.routing.CacheEvent;
import org.foxtailridge.routing.EngineRole;
import org.foxtailridge.routing.LoadReport;
import org.foxtailridge.routing.PromptPrefix;
import org.foxtailridge.routing.Resident;

/**
 * A model engine with continuous batches, bounded memory and a bounded prefix cache.
 *
 * <p>Each step computes a bounded number of prompt tokens and one token for every request whose
 * prompt is computed. Waiting requests are taken by priority and then by arrival.
 */
final class FakeEngine {
    private static final double STEP_MICROSECONDS = 10_000;
    private static final double MICROSECONDS_PER_DECODE = 300;
    private static final double MICROSECONDS_PER_PROMPT_TOKEN = 60;
    private static final int PROMPT_TOKENS_PER_STEP = 512;
    private static final int LARGEST_BATCH = 40;
    private static final int MEMORY_TOKENS = 48_000;
    private static final int CACHE_TOKENS = 40_000;
    private static final int LARGEST_QUEUE = 200;
    private static final int LARGEST_ADAPTERS = 16;

    private final EventQueue mEvents;
    private final EndpointName mName;
    private final String mDataCentre;
    private final Set<String> mModels;
    private final List<EngineWork> mWaiting = new ArrayList<>();
    private final List<EngineWork> mBatch = new ArrayList<>();
    private final List<CacheEvent> mUnread = new ArrayList<>();
    private final Map<PromptPrefix, Integer> mCache = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, String> mAdapters = new LinkedHashMap<>(64, 0.75f, true);
    private int mCachedTokens;
    private int mUsedTokens;
    private long mSequence;
    private long mIncarnation = 1;
    private long mStep;
    private boolean mStepping;
    private boolean mUp = true;
    private double mSlowness = 1;

    FakeEngine(EventQueue events, EndpointName name, String dataCentre, Set<String> models) {
        mEvents = events;
        mName = name;
        mDataCentre = dataCentre;
        mModels = models;
    }

    EndpointName name() {
        return mName;
    }

    String dataCentre() {
        return mDataCentre;
    }

    Set<String> models() {
        return mModels;
    }

    long incarnation() {
        return mIncarnation;
    }

    boolean isUp() {
        return mUp;
    }

    boolean isFull() {
        return mWaiting.size() >= LARGEST_QUEUE;
    }

    void setSlowness(double factor) {
        mSlowness = factor;
    }

    /** Returns whether the adapter is resident and marks it as used. */
    boolean hasAdapter(Optional<String> adapter) {
        return adapter.isEmpty() || mAdapters.get(adapter.get()) != null;
    }

    void loadAdapter(String model, String adapter) {
        mAdapters.put(adapter, model);
        if (mAdapters.size() > LARGEST_ADAPTERS) {
            mAdapters.remove(mAdapters.keySet().iterator().next());
        }
    }

    void accept(EngineWork work) {
        mWaiting.add(work);
        mWaiting.sort(
                Comparator.comparingInt(EngineWork::priority)
                        .thenComparingLong(EngineWork::number));
        startStep();
    }

    boolean cancel(EngineWork work) {
        if (mWaiting.remove(work)) {
            return true;
        }
        boolean running = mBatch.remove(work);
        mUsedTokens -= running ? work.memoryTokens() : 0;
        return running;
    }

    void crash() {
        List<EngineWork> lost = new ArrayList<>(mBatch);
        lost.addAll(mWaiting);
        mBatch.clear();
        mWaiting.clear();
        mCache.clear();
        mAdapters.clear();
        mUnread.clear();
        mCachedTokens = 0;
        mUsedTokens = 0;
        mSequence = 0;
        mIncarnation++;
        mUp = false;
        mStepping = false;
        mStep++;
        lost.forEach(EngineWork::lost);
    }

    void restart() {
        mUp = true;
    }

    LoadReport report(long asOfMilliseconds) {
        List<Resident> residents = new ArrayList<>();
        mModels.forEach(model -> residents.add(Resident.model(model, "v1")));
        mAdapters.forEach(
                (adapter, model) -> residents.add(Resident.adapter(model, adapter, "v1")));
        return new LoadReport(
                mIncarnation,
                asOfMilliseconds,
                mBatch.size(),
                mWaiting.size(),
                MEMORY_TOKENS,
                mUsedTokens,
                EngineRole.BOTH,
                false,
                residents);
    }

    List<CacheEvent> takeCacheEvents() {
        List<CacheEvent> events = List.copyOf(mUnread);
        mUnread.clear();
        return events;
    }

    private void startStep() {
        if (mStepping || !mUp) {
            return;
        }
        fillBatch();
        if (mBatch.isEmpty()) {
            return;
        }
        mStepping = true;
        int promptTokens = 0;
        int decodes = 0;
        for (EngineWork work : mBatch) {
            if (work.promptRemaining() > 0) {
                promptTokens += work.plan(PROMPT_TOKENS_PER_STEP - promptTokens);
            } else {
                decodes++;
                work.plan(0);
            }
        }
        double time =
                STEP_MICROSECONDS
                        + decodes * MICROSECONDS_PER_DECODE
                        + promptTokens * MICROSECONDS_PER_PROMPT_TOKEN;
        long step = ++mStep;
        mEvents.after((long) (time * mSlowness), () -> endStep(step));
    }

    private void fillBatch() {
        while (!mWaiting.isEmpty() && mBatch.size() < LARGEST_BATCH) {
            EngineWork next = mWaiting.get(0);
            int cached = cachedTokens(next.prefixes());
            int memory = next.memoryNeeded(cached);
            if (mUsedTokens + memory > MEMORY_TOKENS) {
                return;
            }
            mWaiting.remove(0);
            next.begin(cached, memory);
            mUsedTokens += memory;
            mBatch.add(next);
        }
    }

    private void endStep(long step) {
        if (step != mStep) {
            return;
        }
        mStepping = false;
        for (EngineWork work : List.copyOf(mBatch)) {
            boolean promptDone = work.promptRemaining() == 0;
            if (!work.apply()) {
                continue;
            }
            if (!promptDone) {
                store(work);
            }
            if (work.token()) {
                mBatch.remove(work);
                mUsedTokens -= work.memoryTokens();
            }
        }
        startStep();
    }

    private int cachedTokens(List<PromptPrefix> prefixes) {
        for (int index = prefixes.size() - 1; index >= 0; index--) {
            if (mCache.get(prefixes.get(index)) != null) {
                return prefixes.get(index).tokens();
            }
        }
        return 0;
    }

    private void store(EngineWork work) {
        int shorter = 0;
        for (PromptPrefix prefix : work.prefixes()) {
            if (mCache.get(prefix) == null) {
                int tokens = prefix.tokens() - shorter;
                mCache.put(prefix, tokens);
                mCachedTokens += tokens;
                note(CacheEvent.Kind.STORED, prefix);
            }
            shorter = prefix.tokens();
        }
        while (mCachedTokens > CACHE_TOKENS) {
            PromptPrefix oldest = mCache.keySet().iterator().next();
            mCachedTokens -= mCache.remove(oldest);
            note(CacheEvent.Kind.EVICTED, oldest);
        }
    }

    private void note(CacheEvent.Kind kind, PromptPrefix prefix) {
        String model = prefix.hash().substring(0, prefix.hash().indexOf('/'));
        mUnread.add(new CacheEvent(mSequence++, kind, model, prefix));
    }
}
