package org.foxtailridge.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Attempts that generate together, and those that wait for KV memory in order of priority and
 * arrival.
 *
 * <p>Memory for an attempt's prompt and longest answer is set aside when it joins the batch, from
 * the working memory of its model. Used by one thread; does no input or output.
 */
final class ContinuousBatch {
    private static final int TOKENS_PER_STEP = 16;

    private final EngineSettings mSettings;
    private final Residents mResidents;
    private final PrefixCache mPrefixCache;
    private final Set<Attempt> mRunning = new LinkedHashSet<>();
    private final TreeSet<Waiting> mWaiting =
            new TreeSet<>(
                    Comparator.comparingInt((Waiting w) -> w.attempt().request().priority())
                            .thenComparingLong(Waiting::arrival));
    private long mArrivals;

    ContinuousBatch(EngineSettings settings, Residents residents, PrefixCache prefixCache) {
        mSettings = settings;
        mResidents = residents;
        mPrefixCache = prefixCache;
    }

    int running() {
        return mRunning.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    boolean isFull() {
        return mWaiting.size() >= mSettings.maximumWaiting();
    }

    boolean uses(String model, String adapter) {
        return mRunning.stream().anyMatch(attempt -> matches(attempt, model, adapter))
                || mWaiting.stream().anyMatch(w -> matches(w.attempt(), model, adapter));
    }

    /** Returns the KV memory that an attempt needs at most, in bytes. */
    long kvBytesOf(Attempt attempt) {
        long tokens = (long) attempt.promptTokens() + attempt.request().tokenLimit();
        return tokens * mSettings.kvBytesPerToken();
    }

    void add(Attempt attempt) {
        mWaiting.add(new Waiting(attempt, mArrivals++));
    }

    /** Takes an attempt out of the batch and gives its memory back. */
    void remove(Attempt attempt) {
        mWaiting.removeIf(waiting -> waiting.attempt() == attempt);
        if (mRunning.remove(attempt)) {
            mResidents.giveBackKv(attempt.request().model(), attempt.kvBytes());
        }
    }

    List<Attempt> all() {
        List<Attempt> all = new ArrayList<>(mRunning);
        mWaiting.forEach(waiting -> all.add(waiting.attempt()));
        return all;
    }

    /** Admits what fits and generates the tokens that are due; returns the attempts that grew. */
    List<Attempt> step(Instant now) {
        admit(now);
        List<Attempt> grown = new ArrayList<>();
        for (Attempt attempt : List.copyOf(mRunning)) {
            if (generate(attempt, now)) {
                grown.add(attempt);
            }
            if (!attempt.state().isActive()) {
                remove(attempt);
            }
        }
        admit(now);
        return grown;
    }

    /** Returns when the next token is due; empty when no attempt can go on. */
    Optional<Instant> nextTokenAt() {
        return mRunning.stream()
                .filter(Attempt::canProduce)
                .map(Attempt::nextTokenAt)
                .min(Comparator.naturalOrder());
    }

    private boolean generate(Attempt attempt, Instant now) {
        int tokens = 0;
        while (tokens < TOKENS_PER_STEP
                && attempt.canProduce()
                && !attempt.nextTokenAt().isAfter(now)) {
            attempt.produce(now, mSettings.betweenTokens());
            tokens++;
        }
        return tokens > 0;
    }

    private void admit(Instant now) {
        while (!mWaiting.isEmpty() && mRunning.size() < mSettings.maximumRunning()) {
            Attempt next = mWaiting.first().attempt();
            long bytes = kvBytesOf(next);
            if (!mResidents.takeKv(next.request().model(), bytes)) {
                return;
            }
            mWaiting.pollFirst();
            next.start(now.plus(timeToFirstToken(next, now)), bytes);
            mRunning.add(next);
        }
    }

    private Duration timeToFirstToken(Attempt attempt, Instant now) {
        CompletionRequest request = attempt.request();
        int cached =
                mPrefixCache.use(request.model(), request.adapter(), request.promptText(), now);
        int uncached = Math.max(0, attempt.promptTokens() - cached);
        Duration prefill = mSettings.prefillPerToken().multipliedBy(uncached);
        return mSettings.firstToken().plus(prefill);
    }

    private static boolean matches(Attempt attempt, String model, String adapter) {
        boolean sameModel = attempt.request().model().equals(model);
        return sameModel && (adapter == null || adapter.equals(attempt.request().adapter()));
    }

    private record Waiting(Attempt attempt, long arrival) {}
}
